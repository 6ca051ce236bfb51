"""HTTP client for the public API, used by the commands."""

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
    """A client for one gateway, usable as a context manager.

    :param args: docopt's arguments; ``--url`` and ``--key`` default to the environment variables
        ``CORNELGRADE_URL`` and ``CORNELGRADE_KEY``.
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
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._http.close()

    def call(self, method: str, path: str, **kwargs: Any) -> httpx.Response:
        """Send one request and return its complete response.

        :raises NotReachableError: if no response arrived.
        :raises Refusal: if the system refused the request.
        """
        try:
            response = self._http.request(method, path, **kwargs)
        except (httpx.TransportError, httpx.InvalidURL) as exc:
            raise self._not_reachable_error(exc) from exc
        _raise_for_refusal(response, self.url)
        return response

    def stream_lines(self, path: str) -> Iterator[str]:
        """Send a ``GET`` request and yield the lines of its response as they arrive.

        :raises NotReachableError: if no response arrived or it was aborted.
        :raises Refusal: if the system refused the request.
        """
        try:
            with self._http.stream("GET", path) as response:
                if response.is_error:
                    response.read()
                _raise_for_refusal(response, self.url)
                yield from response.iter_lines()
        except (httpx.TransportError, httpx.InvalidURL) as exc:
            raise self._not_reachable_error(exc) from exc

    def _not_reachable_error(self, exc: Exception) -> errors.NotReachableError:
        reason = str(exc) or type(exc).__name__
        return errors.NotReachableError(reason, step="call", peer=self.url)


TRANSPORT: httpx.BaseTransport | None = None


def quote_identifier(text: str) -> str:
    """Percent-encode an identifier for use in a path, except for slashes."""
    return urllib.parse.quote(text, safe="/")


def decode(response: httpx.Response, result_type: type[T]) -> T:
    """Decode a response's JSON body.

    :raises CornelgradeError: if the body is not JSON of type ``result_type``.
    """
    try:
        return msgspec.json.decode(response.content, type=result_type)
    except msgspec.DecodeError as exc:
        message = f"unexpected response: {exc}"
        raise errors.CornelgradeError(message, step="answer", peer=str(response.url)) from exc


def _raise_for_refusal(response: httpx.Response, url: str) -> None:
    """Raise the refusal that an error response carries.

    :raises CornelgradeError: if an error response carries no refusal.
    """
    if not response.is_error:
        return
    try:
        detail = msgspec.json.decode(response.content, type=errors.ErrorBody).error
        code, ran = errors.Code(detail.code), errors.Ran(detail.ran)
    except (msgspec.DecodeError, ValueError):
        message = f"status {response.status_code} without an error body"
        raise errors.CornelgradeError(message, step="answer", peer=url) from None
    raise errors.Refusal(
        code,
        detail.message,
        step=detail.step,
        ran=ran,
        retry_after_s=detail.retry_after_s,
        peer=detail.peer,
    )
