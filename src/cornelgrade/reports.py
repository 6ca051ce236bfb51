"""What ``GET /v1/status`` answers: typed snapshots that services give and operators read."""

import msgspec

UP = "up"


class Degraded(msgspec.Struct, frozen=True):
    """Something that works less well than it should.

    :param since_s: Unix time in seconds at which it began; a service that leaves it at 0 gets
        the time at which it was first reported.
    """

    what: str
    since_s: float = 0.0


class UpstreamReport(msgspec.Struct, frozen=True):
    """An upstream as one service sees it.

    :param state: :data:`UP`, or in a word why it gets no or less work, such as ``down``.
    :param since_s: Unix time in seconds at which the state began, filled in like that of
        :class:`Degraded`.
    :param outstanding: requests of this VM that run there.
    """

    name: str
    failure_domain: str
    state: str
    since_s: float = 0.0
    outstanding: int = 0
    note: str = ""


class MemberReport(msgspec.Struct, frozen=True):
    """A VM of the system in this VM's membership view."""

    vm: str
    failure_domain: str
    state: str
    manifest_version: int
    behind: bool


class JobAtRisk(msgspec.Struct, frozen=True):
    """A job that may miss its due time (Unix time in seconds)."""

    id: str
    due_s: float
    reason: str


class Fact(msgspec.Struct, frozen=True):
    """One figure of a service that an operator may want to see."""

    name: str
    value: str


class Report(msgspec.Struct, frozen=True):
    """The snapshot of one service."""

    degraded: tuple[Degraded, ...] = ()
    upstreams: tuple[UpstreamReport, ...] = ()
    jobs_at_risk: tuple[JobAtRisk, ...] = ()
    facts: tuple[Fact, ...] = ()


class ServiceReport(msgspec.Struct, frozen=True):
    """A service's name beside its figures."""

    service: str
    facts: tuple[Fact, ...]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the fleet as one VM sees it; a hint, since views lag."""

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


class HistoryStep(msgspec.Struct, frozen=True):
    """One step of an explained subject; ``vm`` is where it was noted."""

    at_s: float
    vm: str
    step: str
    sentence: str
    peer: str = ""


class History(msgspec.Struct, frozen=True):
    """What ``GET /v1/explain/ID`` answers.

    :param silent: processes that were asked and did not answer, so the history may have gaps.
    """

    subject: str
    steps: tuple[HistoryStep, ...]
    silent: tuple[str, ...] = ()
