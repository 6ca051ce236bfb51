"""Interfaces and data types shared by the edge services and their platform adapters."""

import enum
from typing import Annotated, Protocol

import msgspec

from cornelgrade import routes
from cornelgrade.adapters import http1, http1_server
from cornelgrade.policy import upstream_limit

# A time that another writer stored; larger integers overflow floats and the messages to peers.
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]


class Caller(msgspec.Struct, frozen=True):
    """Request parameters that a caller sets in headers.

    :param timeout_s: how long it waits for the complete response, ``None`` if not given.
    :param resume_after: number of the last event that it received from a broken stream.
    :param has_invalid_resume: whether it names that event, but not by a number.
    :param resumed_request: id of its attempt that brought the first event of that stream.
    :param prompt_parts: ids of the parts of its prompt that other requests may share.
    :param key_digests: digests of the keys that it carries; one, if it is valid.
    """

    request_id: str
    host: str
    timeout_s: float | None = None
    resume_after: int | None = None
    has_invalid_resume: bool = False
    resumed_request: str = ""
    prompt_parts: tuple[bytes, ...] = ()
    key_digests: tuple[bytes, ...] = ()


class Verdict(enum.Enum):
    """Classification of the head of an upstream's response.

    ``NOT_RUN`` guarantees that the upstream did no work on the request; ``FOREIGN`` belongs to
    another request; ``UNSIGNED`` lacks the proof that it came from an upstream.
    """

    RESPONSE = "answer"
    NOT_RUN = "not_run"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"


class UpstreamLoad(msgspec.Struct, frozen=True):
    """Requests at an upstream, from its own load report, which lags slightly.

    :param started_ms: Unix time of the upstream's start in milliseconds, 0 if not given.
    :param events_made: number of events that each of its runs has made, by the id of the request;
        some runs may be missing.
    """

    running: int
    waiting: int
    started_ms: int = 0
    events_made: dict[str, int] = {}


class CallFormat(Protocol):
    """Encodes and decodes the headers and statuses of requests and responses.

    :ivar load_target: request target of an upstream's load report.
    """

    load_target: bytes

    def parse_load(self, body: bytes) -> UpstreamLoad | None:
        """Parse an upstream's load report; return ``None`` if it is malformed."""

    def parse_caller(self, headers: http1.Headers) -> Caller:
        """Parse the request parameters that a caller sets in headers."""

    def parse_prompt_parts(self, headers: http1.Headers) -> tuple[bytes, ...]:
        """Return the ids of the parts of a prompt that other requests may share."""

    def upstream_headers(
        self,
        headers: http1.Headers,
        upstream: str,
        left_s: float,
        resume_after: int | None,
        team: str = "",
    ) -> http1.Headers:
        """Return the headers of a request to an upstream, without the caller's key.

        :param team: the team that it belongs to, if any.
        """

    def forwarded_headers(
        self, headers: http1.Headers, left_s: float, resume_after: int | None, resumes: str
    ) -> http1.Headers:
        """Return the headers of a caller's request as forwarded to a peer, without its key.

        :param resumes: id of the attempt that began the stream, if it goes on after an event.
        """

    def parse_retry_after(self, head: http1.ResponseHead) -> float | None:
        """Return after how many seconds a response asks to retry, ``None`` if it doesn't say."""

    def item_headers(
        self,
        host: str,
        item_id: str,
        headers: http1.Headers,
        upstream: str,
        after: int | None,
        team: str = "",
    ) -> http1.Headers:
        """Return the headers of a batch item's request to an upstream.

        :param team: the team whose job it is part of, if any.
        """

    def verdict(
        self, head: http1.ResponseHead, request_id: str, *, after_foreign: bool = False
    ) -> Verdict:
        """Classify the head of an upstream's response to a request.

        :param after_foreign: whether a response to another request came before it on the same
            connection; then only one that names the request belongs to it.
        """

    def is_leaving(self, head: http1.ResponseHead) -> bool:
        """Return whether an upstream says in a response, of any status, that it is leaving."""

    def read_limit(self, head: http1.ResponseHead) -> upstream_limit.Reading:
        """Return what an upstream says about its rate limit in a response, of any status."""

    def caller_headers(self, head: http1.ResponseHead) -> http1.Headers:
        """Return the headers of an upstream's response as sent to the caller."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> http1_server.Headers:
        """Return the headers of a response that the system itself generates."""


class Directory(Protocol):
    """Kinds and formats of plans and registrations in the platform's store."""

    plan_kind: str
    plan_name: str
    upstream_kind: str

    def plan(self, value: bytes) -> routes.Plan | None:
        """Decode a plan; return ``None`` if it is malformed."""

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        """Decode a registration; return ``None`` if it describes no usable upstream."""


class JobOperation(enum.Enum):
    """Operation that a call about an accepted job requests."""

    READ = "read"
    BODY = "body"
    END = "end"


class JobCall(msgspec.Struct, frozen=True):
    """A call about an accepted job.

    :param after: position of the first result to return.
    :param item: the item whose body is requested.
    :param wait_s: how long to wait for a result if there is none yet.
    """

    operation: JobOperation
    job: str
    after: int = 0
    item: str = ""
    wait_s: float = 0.0


class Item(msgspec.Struct, frozen=True):
    """One item of a job, run as a POST of ``body`` to ``target``.

    :param tokens: prompt length plus maximum output length.
    """

    name: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class ItemEnd(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    GIVEN_UP = "given_up"


class ItemResult(msgspec.Struct, frozen=True):
    """The final outcome of an item; ``text`` joins the data of its events by line feeds."""

    item: str
    end: ItemEnd
    text: str


class JobCallFormat(Protocol):
    """Encodes and decodes calls about jobs."""

    def parse_called_job(self, exchange: http1_server.Exchange) -> str | None:
        """Return the job that a request names if it is a call about one, else ``None``.

        It may also be a request of an online route whose prefix begins its path.
        """

    def parse_job_call(self, exchange: http1_server.Exchange) -> JobCall | None:
        """Parse a call about an accepted job; return ``None`` if it is not one.

        :raises BadInputError: if its parameters are malformed.
        """

    def parse_submission(self, body: bytes) -> tuple[Item, ...]:
        """Parse the items of a new job.

        :raises BadInputError: if they are malformed.
        """

    def encode_page(self, total: int, after: int, results: tuple[ItemResult, ...]) -> bytes:
        """Encode the results from position ``after`` on."""


class RetirementState(enum.Enum):
    """Progress of draining a VM that is being retired."""

    RUNNING = "running"
    DONE = "done"


class Retirements(Protocol):
    """Operators' requests to retire a worker's VM; each is an object with the VM's name."""

    kind: str

    async def report_state(self, vm: str, state: RetirementState) -> None:
        """Report a VM's progress to operators.

        :raises UnavailableError: if the report may not have been stored.
        """
