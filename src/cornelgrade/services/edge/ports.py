"""Protocols and values through which the forwarding services know each other and the platform."""

import dataclasses
import enum
from typing import Protocol

from cornelgrade import routes
from cornelgrade.adapters import http1, http1_server


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """What a caller says of its request.

    :param patience_s: how long it waits for the whole answer, ``None`` if it does not say.
    :param resume_after: the last event that it has of a broken stream.
    """

    request_id: str
    host: str
    timeout_s: float | None = None
    resume_after: int | None = None


class Verdict(enum.Enum):
    """What the head of an upstream's answer says.

    ``NOT_RUN`` promises that the upstream did no work on the request; ``FOREIGN`` answers another
    request; ``UNSIGNED`` lacks the proof that it is an upstream's answer.
    """

    RESPONSE = "answer"
    NOT_RUN = "not_run"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Requests at an upstream, as it reports itself a moment late."""

    running: int
    waiting: int


class CallFormat(Protocol):
    """How requests and answers are written in headers and statuses.

    :ivar load_target: where an upstream tells its load.
    """

    load_target: bytes

    def parse_load(self, body: bytes) -> UpstreamLoad | None:
        """Read an upstream's load, ``None`` if it can't be read."""

    def parse_caller(self, headers: http1.Headers) -> Caller:
        """Read what a caller says of its request."""

    def upstream_headers(
        self, headers: http1.Headers, upstream: str, left_s: float, resume_after: int | None
    ) -> http1.Headers:
        """Give the headers of a request as an upstream gets it."""

    def item_headers(
        self, host: str, item_id: str, headers: http1.Headers, upstream: str, after: int | None
    ) -> http1.Headers:
        """Give the headers of a batch item as an upstream gets it."""

    def verdict(self, head: http1.Head, request_id: str) -> Verdict:
        """Tell what the head of an upstream's answer says of the request."""

    def caller_headers(self, head: http1.Head) -> http1.Headers:
        """Give the headers of an answer as the caller gets it."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> http1_server.Headers:
        """Give the headers of an answer of the system's own."""


class Directory(Protocol):
    """Where plans and registrations lie on the platform, and how they are written."""

    plan_kind: str
    plan_name: str
    upstream_kind: str

    def plan(self, value: bytes) -> routes.Plan | None:
        """Decode a plan, ``None`` if it can't be read."""

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        """Decode a registration; ``None`` if it names no upstream that can be used."""


class JobOperation(enum.Enum):
    """What a call about an accepted job asks for."""

    READ = "read"
    BODY = "body"
    END = "end"


@dataclasses.dataclass(frozen=True, slots=True)
class JobCall:
    """A call about an accepted job.

    :param after: results before this position are not wanted.
    :param item: the item whose body is wanted.
    :param wait_s: how long the caller waits for a result if there is none yet.
    """

    operation: JobOperation
    job: str
    after: int = 0
    item: str = ""
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One item of a job, run as a POST of ``body`` to ``target``.

    :param tokens: of its prompt and its longest output together.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """The final outcome of an item; ``text`` joins the data of its events by line feeds."""

    item: str
    end: ItemEnd
    text: str


class JobCallFormat(Protocol):
    """How callers speak about jobs."""

    def parse_job_call(self, exchange: http1_server.Exchange) -> JobCall | None:
        """Read a call about an accepted job, ``None`` if it is none.

        :raises BadInputError: if its parameters can't be read.
        """

    def parse_submission(self, body: bytes) -> tuple[Item, ...]:
        """Read the items of a new job.

        :raises BadInputError: if they can't be read.
        """

    def encode_page(self, total: int, after: int, results: tuple[ItemResult, ...]) -> bytes:
        """Write results from position ``after`` on."""


class RetirementState(enum.Enum):
    """How far the emptying of a VM is."""

    RUNNING = "running"
    DONE = "done"


class Retirements(Protocol):
    """Operators' requests to empty a worker's VM; each is an object with the VM's name."""

    kind: str

    async def report_state(self, vm: str, state: RetirementState) -> None:
        """Tell operators how far the emptying is.

        :raises UnavailableError: if they may not have been told.
        """
