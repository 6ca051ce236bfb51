"""Typed errors that carry the step and peer where they occurred."""

import enum

import msgspec


class Ran(enum.StrEnum):
    """Whether an upstream may have processed any part of a request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_INPUT = 3
    REFUSED = 4
    NOT_REACHABLE = 5


class Code(enum.StrEnum):
    """Machine-readable refusal codes; :data:`STATUS` maps each to an HTTP status."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    STALE = "stale"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNAVAILABLE = "unavailable"
    DRAINING = "draining"
    DEADLINE = "deadline"
    INTERNAL = "internal"


STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHORIZED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.CONFLICT: 409,
    Code.STALE: 412,
    Code.TOO_LARGE: 413,
    Code.RATE_LIMITED: 429,
    Code.OVERLOADED: 503,
    Code.QUARANTINED: 422,
    Code.UPSTREAM_FAILED: 502,
    Code.OUTCOME_UNKNOWN: 502,
    Code.UNAVAILABLE: 503,
    Code.DRAINING: 503,
    Code.DEADLINE: 504,
    Code.INTERNAL: 500,
}


class CornelgradeError(Exception):
    """Base class of the package's errors.

    :param message: what went wrong, in one sentence.
    :param step: the step that failed, such as ``connect``.
    :param peer: the other side's name or address, empty if there is none.
    """

    exit_code = ExitCode.FAILED

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def format_message(self) -> str:
        """Return the error as one line for a person."""
        where = f" (peer {self.peer})" if self.peer else ""
        return f"{self.step}: {self.message}{where}"


class BadInputError(CornelgradeError):
    """A file or argument is invalid; ``problems`` lists each problem with its path."""

    exit_code = ExitCode.BAD_INPUT

    def __init__(self, problems: tuple[str, ...], *, step: str, peer: str = "") -> None:
        super().__init__("; ".join(problems), step=step, peer=peer)
        self.problems = problems

    def format_message(self) -> str:
        """Return one line per problem."""
        return "\n".join(self.problems)


class NotReachableError(CornelgradeError):
    """The other side could not be reached."""

    exit_code = ExitCode.NOT_REACHABLE


class ErrorDetail(msgspec.Struct, frozen=True):
    """The ``error`` object of a refusal's JSON body."""

    code: str
    message: str
    ran: str
    retry_after_s: float | None = None
    step: str = ""
    peer: str = ""


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of a refusal."""

    error: ErrorDetail


class Refusal(CornelgradeError):
    """A request was refused or failed; the caller gets this error as the response.

    :param code: the machine-readable reason.
    :param ran: whether an upstream may have processed the request; ``NO`` guarantees that none did.
    :param retry_after_s: seconds to wait before a retry, ``None`` if a retry is useless.
    """

    exit_code = ExitCode.REFUSED

    def __init__(
        self,
        code: Code,
        message: str,
        *,
        step: str,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return STATUS[self.code]

    def body(self) -> bytes:
        """Encode the refusal as the JSON body of the response."""
        detail = ErrorDetail(
            code=self.code.value,
            message=self.message,
            ran=self.ran.value,
            retry_after_s=self.retry_after_s,
            step=self.step,
            peer=self.peer,
        )
        return msgspec.json.encode(ErrorBody(error=detail))
