"""Responses of ``GET /v1/status`` and ``GET /v1/explain/ID``, and the services' reports in them."""

import msgspec

UP = "up"


class Degraded(msgspec.Struct, frozen=True):
    """A degraded condition.

    :param since_s: Unix time in seconds at which it began; if a service leaves it at 0, the time
        of the first report is filled in.
    """

    what: str
    since_s: float = 0.0


class UpstreamReport(msgspec.Struct, frozen=True):
    """An upstream as one service sees it.

    :param state: :data:`UP`, or one word for why it gets less or no work, such as ``down``.
    :param since_s: Unix time in seconds at which the state began; 0 is filled in as in
        :class:`Degraded`.
    :param outstanding: this VM's requests in progress at the upstream.
    """

    name: str
    failure_domain: str
    state: str
    since_s: float = 0.0
    outstanding: int = 0
    note: str = ""


class TeamReport(msgspec.Struct, frozen=True):
    """What a team asked of this VM since it started.

    :param admitted: requests within its rate limit.
    :param share: its share of the requests that all teams had admitted.
    :param refused: refused requests by reason, as codes of refusals.
    """

    name: str
    admitted: int
    share: float
    refused: dict[str, int] = {}


class MemberReport(msgspec.Struct, frozen=True):
    """A VM in the reporting VM's membership view."""

    vm: str
    failure_domain: str
    state: str
    manifest_version: int
    behind: bool


class JobAtRisk(msgspec.Struct, frozen=True):
    """A job that may miss ``due_s`` (Unix time in seconds)."""

    id: str
    due_s: float
    reason: str


class Fact(msgspec.Struct, frozen=True):
    """A named value that a service reports to operators."""

    name: str
    value: str


class Report(msgspec.Struct, frozen=True):
    """A snapshot of one service."""

    degraded: tuple[Degraded, ...] = ()
    upstreams: tuple[UpstreamReport, ...] = ()
    jobs_at_risk: tuple[JobAtRisk, ...] = ()
    facts: tuple[Fact, ...] = ()
    teams: tuple[TeamReport, ...] = ()


class ServiceReport(msgspec.Struct, frozen=True):
    """The facts of one service."""

    service: str
    facts: tuple[Fact, ...]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the fleet as one VM sees it; it may be outdated, since views lag."""

    vm: str
    failure_domain: str
    region: str
    software: str
    at_s: float
    ready: bool
    manifest_version: int
    manifest_confirmed: bool
    members: tuple[MemberReport, ...] = ()
    upstreams: tuple[UpstreamReport, ...] = ()
    degraded: tuple[Degraded, ...] = ()
    jobs_at_risk: tuple[JobAtRisk, ...] = ()
    services: tuple[ServiceReport, ...] = ()
    teams: tuple[TeamReport, ...] = ()


class HistoryStep(msgspec.Struct, frozen=True):
    """One step in a subject's history; ``vm`` is the VM that recorded it."""

    at_s: float
    vm: str
    step: str
    sentence: str
    peer: str = ""


class History(msgspec.Struct, frozen=True):
    """The response of ``GET /v1/explain/ID``.

    :param silent: processes that did not respond, so the history may have gaps.
    """

    subject: str
    steps: tuple[HistoryStep, ...]
    silent: tuple[str, ...] = ()
