"""The public HTTP interface as the commands call it."""

import os
import types
import urllib.parse
from collections.abc import Iterator
from typing import Any, Self, TypeVar

import httpx
import msgspec

from cornelgrade import errors

DEFAULT_URL = "http://127.0.0.1:8080"
URL_VARIABLE = "CORNELGRADE_URL"
KEY_VARIABLE = "CORNELGRADE_KEY"
CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 60.0

T = TypeVar("T")


class Client:
    """A connection to one gateway; a context manager.

    :param args: docopt's arguments, of which ``--url`` and ``--key`` are read; the environment
        variables ``CORNELGRADE_URL`` and ``CORNELGRADE_KEY`` stand in for them.
    :param transport: replaces the network in tests.
    """

    def __init__(self, args: dict[str, Any], transport: httpx.BaseTransport | None = None) -> None:
        self.url = args["--url"] or os.environ.get(URL_VARIABLE) or DEFAULT_URL
        key = args["--key"] or os.environ.get(KEY_VARIABLE)
        self._http = httpx.Client(
            base_url=self.url,
            headers={"Authorization": f"Bearer {key}"} if key else {},
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=transport or TRANSPORT,
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._http.close()

    def call(self, method: str, path: str, **kwargs: Any) -> httpx.Response:
        """Make one call and read its whole answer.

        :raises NotReachableError: if no answer came.
        :raises Refusal: if the system refused.
        """
        try:
            answer = self._http.request(method, path, **kwargs)
        except (httpx.TransportError, httpx.InvalidURL) as exc:
            raise self._not_reachable(exc) from exc
        _check(answer, self.url)
        return answer

    def lines(self, path: str) -> Iterator[str]:
        """Read an answer line by line as it arrives.

        :raises NotReachableError: if no answer came or it broke off.
        :raises Refusal: if the system refused.
        """
        try:
            with self._http.stream("GET", path) as answer:
                if answer.is_error:
                    answer.read()
                _check(answer, self.url)
                yield from answer.iter_lines()
        except (httpx.TransportError, httpx.InvalidURL) as exc:
            raise self._not_reachable(exc) from exc

    def _not_reachable(self, exc: Exception) -> errors.NotReachableError:
        reason = str(exc) or type(exc).__name__
        return errors.NotReachableError(reason, step="call", peer=self.url)


TRANSPORT: httpx.BaseTransport | None = None


def segment(text: str) -> str:
    """Quote a caller's identifier for use in a path; slashes stay."""
    return urllib.parse.quote(text, safe="/")


def decode(answer: httpx.Response, kind: type[T]) -> T:
    """Decode an answer's JSON body.

    :raises CornelgradeError: if it is not what the system answers.
    """
    try:
        return msgspec.json.decode(answer.content, type=kind)
    except msgspec.DecodeError as exc:
        message = f"unexpected answer: {exc}"
        raise errors.CornelgradeError(message, step="answer", peer=str(answer.url)) from exc


def _check(answer: httpx.Response, url: str) -> None:
    """Raise the refusal that an answer carries."""
    if not answer.is_error:
        return
    try:
        detail = msgspec.json.decode(answer.content, type=errors.ErrorBody).error
        code, ran = errors.Code(detail.code), errors.Ran(detail.ran)
    except (msgspec.DecodeError, ValueError):
        message = f"status {answer.status_code} without a reason"
        raise errors.CornelgradeError(message, step="answer", peer=url) from None
    raise errors.Refusal(
        code,
        detail.message,
        step=detail.step,
        ran=ran,
        retry_after_s=detail.retry_after_s,
        peer=detail.peer,
    )
