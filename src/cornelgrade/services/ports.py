"""Protocols and value types that services use to call each other."""

import dataclasses
import enum
from typing import Protocol, TypeVar, runtime_checkable

import msgspec
import trio

from cornelgrade import errors, manifest, reports
from cornelgrade.adapters import engine
from cornelgrade.policy import teams

T = TypeVar("T")


class MemberState(enum.StrEnum):
    """State of a VM in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True):
    """One VM in the membership; addresses are ``IP:port``."""

    vm: str
    failure_domain: str
    region: str
    incarnation: int
    state: MemberState
    peer_address: str
    worker_address: str
    gateway_address: str
    manifest_version: int = 0


class View(msgspec.Struct, frozen=True):
    """A snapshot of the membership, which may be out of date; correctness must not depend on it.

    :param self_vm: the VM whose view it is.
    """

    self_vm: str
    members: tuple[Member, ...]

    def usable(self, failure_domain: str = "") -> tuple[Member, ...]:
        """Return members that may get new work, of one failure domain if it is given.

        A suspect counts as usable until it is declared dead.
        """
        good = (MemberState.ALIVE, MemberState.SUSPECT)
        return tuple(
            m
            for m in self.members
            if m.state in good and (not failure_domain or m.failure_domain == failure_domain)
        )


class Load(msgspec.Struct, frozen=True):
    """A gateway's online load on an engine, sent to the engine's batch owner.

    Sent when it changes and at least every second: an owner that receives no load for a few seconds
    falls back to a small window.

    :param vm: the gateway's VM, set by the membership that receives the message.
    """

    upstream: str
    outstanding: int
    queued: int
    vm: str = ""


class Yield(msgspec.Struct, frozen=True):
    """A gateway's request to an engine's batch owner to free slots immediately.

    :param vm: the gateway's VM, set by the membership that receives the message.
    """

    upstream: str
    slots: int
    vm: str = ""


class CrashSighting(msgspec.Struct, frozen=True):
    """One crash with a request in flight, as one process saw it.

    :param crash: id of the upstream's start, or of the upstream if its start is unknown.
    :param age_s: how long ago the process detected it.
    :param exact: whether the id tells the starts of the upstream apart.
    :param attributed: whether the process attributes the crash to the request.
    :param weak: whether the request had several copies in flight beside other requests.
    """

    crash: int
    age_s: float
    exact: bool = False
    attributed: bool = False
    weak: bool = False


class Quarantined(msgspec.Struct, frozen=True):
    """A request fingerprint that may crash engines.

    :param crashes: crashes that it caused, by the sender's own evidence; 0 for a suspect.
    :param expires_s: seconds from now until the entry expires; 0 if the request completed, which
        clears it.
    :param source: id of the process that counted.
    :param seen: crashes with the request in flight, by the same evidence.
    :param sightings: the newest of these crashes, so that a crash counts once although several
        processes saw it.
    """

    fingerprint: str
    crashes: int
    expires_s: float
    source: str = ""
    seen: int = 0
    sightings: tuple[CrashSighting, ...] = ()


class UpstreamCrashed(msgspec.Struct, frozen=True):
    """What one process had in flight on an upstream that crashed.

    :param source: id of the reporting process.
    :param in_flight: number of distinct requests.
    :param suspects: how many of them were in flight at an earlier crash.
    :param fingerprint: the only suspect or the only request; empty if there are several.
    """

    source: str
    upstream: str
    in_flight: int
    suspects: int
    fingerprint: str = ""


class Leaving(msgspec.Struct, frozen=True):
    """A notice that an upstream is leaving and should get no new work.

    :param started_ms: Unix time of the start that it is about, in milliseconds; 0 for any.
    """

    upstream: str
    started_ms: int = 0


class Share(msgspec.Struct, frozen=True):
    """The number of requests that a gateway may have outstanding on an engine, from its owner."""

    upstream: str
    slots: int


class VersionAnnounced(msgspec.Struct, frozen=True):
    """A member has a later manifest version in force than any member announced before."""

    vm: str
    version: int


PeerMessage = Load | Yield | Share | Quarantined | UpstreamCrashed | Leaving


TeamKeys = teams.KeyTable[manifest.Team]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedManifest:
    """The manifest in force.

    :param version: the platform's version; 0 before the first manifest.
    :param confirmed: read from the platform, not only received from a peer.
    :ivar keys: finds the team that holds a key.
    """

    manifest: manifest.Manifest
    version: int
    confirmed: bool = True
    keys: TeamKeys = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        holders = ((team, map(bytes.fromhex, team.key_hashes)) for team in self.manifest.teams)
        object.__setattr__(self, "keys", teams.KeyTable(holders))


class Membership(Protocol):
    """The service ``membership``."""

    def view(self) -> View:
        """Return the latest view."""

    def send(self, vm: str, message: PeerMessage) -> None:
        """Queue a datagram to a VM's worker (load, yield) or gateway (the rest)."""

    def broadcast(self, message: PeerMessage) -> None:
        """Queue a message for every gateway of the region, piggybacked on probes."""

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Return a channel of one type of peer message or of :class:`VersionAnnounced`.

        A slow reader loses the oldest messages.
        """

    def set_version(self, version: int) -> None:
        """Publish the manifest version that is in force at this VM."""

    def leave(self) -> None:
        """Announce that this VM takes no new work; members send it none from then on."""


class Configuration(Protocol):
    """The service ``configuration``."""

    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or ``None`` before the first one."""

    async def wait_newer(self, version: int) -> AcceptedManifest:
        """Wait until a version later than ``version`` is in force and return it."""

    async def put(self, raw: bytes, if_match: int | None) -> AcceptedManifest:
        """Validate and accept a manifest; raises a Refusal (``STALE``, ``BAD_REQUEST``, ...)."""


class Step(msgspec.Struct, frozen=True):
    """One step in the history of a request, item, job, manifest version or order.

    :param at_s: Unix time in seconds.
    :param sentence: what happened, in plain English.
    """

    at_s: float
    step: str
    sentence: str
    peer: str = ""


class Histories(Protocol):
    """The service ``histories``: bounded recent history, the source of ``explain``.

    Steps that belong to a team are recorded under ``TEAM/ID``, where the id is a request's id or
    key, a job's id or ``JOB/CUSTOM_ID``, so that a team can read only its own histories. Other
    steps are recorded under ``manifest/VERSION`` and ``UPSTREAM/order``.
    """

    def record(self, subject: str, step: str, sentence: str, peer: str = "") -> None:
        """Add a step to the history of ``subject``."""

    def get_steps(self, subject: str) -> tuple[Step, ...]:
        """Return the steps of a subject, oldest first."""

    def find(self, identifier: str) -> tuple[str, ...]:
        """Return the subjects equal to ``identifier`` or ending in ``/`` and ``identifier``."""


class HistoryScope(enum.StrEnum):
    """Which subjects match an identifier: only itself, or all found by :meth:`Histories.find`."""

    EXACT = "exact"
    ANY = "any"


class GatheredSteps(msgspec.Struct, frozen=True):
    """Other processes' steps of a subject; ``silent`` names the processes that didn't answer."""

    steps: tuple[reports.HistoryStep, ...]
    silent: tuple[str, ...]


class PeerHistories(Protocol):
    """The service ``peer_histories``: queries the other processes of the fleet for histories."""

    async def gather(self, scope: HistoryScope, identifier: str) -> GatheredSteps:
        """Query all processes concurrently within a time limit."""


class RecordedHistories(Protocol):
    """Reads the histories of a team's requests, jobs and items from the durable records."""

    async def get_steps(self, team: str, identifier: str) -> tuple[Step, ...]:
        """Return the steps, empty if the identifier is unknown."""

    async def at_risk(self) -> tuple[reports.JobAtRisk, ...]:
        """Return open jobs that may miss their due times; raises ``UnavailableError``."""


class FleetHistories(Protocol):
    """Reads the histories of manifest versions and engine orders from the platform."""

    async def get_steps(self, subject: str) -> tuple[Step, ...]:
        """Return the steps of ``manifest/VERSION`` or ``UPSTREAM/order``, empty if unknown."""


@runtime_checkable
class Reports(Protocol):
    """A service that contributes to ``GET /v1/status``; any service may implement it."""

    def report(self) -> reports.Report:
        """Return a snapshot; called about once a second, so it must be cheap."""


class Conditions(Protocol):
    """The service ``conditions``: the degraded conditions of this process and when they began."""

    def status(self) -> reports.Status:
        """Return the fleet's state as this VM sees it."""

    def ready(self) -> bool:
        """Return whether a load balancer should send requests to this VM."""


class Claim(msgspec.Struct, frozen=True):
    """A keyed request that is to be claimed before it runs.

    :param digest: hash of method, path and body; another body under the same key is refused.
    :param wait_s: longest wait for an earlier attempt of the request that is still running.
    """

    team: str
    key: str
    request_id: str
    digest: str
    idempotent: bool
    wait_s: float


class StoredResponse(msgspec.Struct, frozen=True):
    """The complete response to a keyed request."""

    status: int
    content_type: str
    body: bytes
    recorded: bool = True


class ClaimedRun(msgspec.Struct, frozen=True):
    """A claim that was granted; only its holder may dispatch the request."""

    claim: Claim
    nonce: str


class RequestState(enum.StrEnum):
    """State of a keyed request that has no stored response."""

    RUNNING = "running"
    UNKNOWN = "unknown"
    NOT_FOUND = "not_found"


class Records(Protocol):
    """The service ``records``: durable outcomes of keyed requests."""

    async def begin(self, claim: Claim) -> ClaimedRun | StoredResponse:
        """Claim a request, or return the response that is already stored for it.

        For a non-idempotent request the run record is durable before this returns. Waits up to
        ``claim.wait_s`` for an earlier attempt that is still running.

        :raises Refusal: ``CONFLICT`` (other body), ``OUTCOME_UNKNOWN`` (ran at a VM that died),
            ``UNAVAILABLE`` (not run: the record could not be written), ``DEADLINE`` (the earlier
            attempt still runs after ``wait_s``; ``ran`` is unknown).
        """

    async def store(self, run: ClaimedRun, answer: StoredResponse) -> StoredResponse:
        """Store the response and return the stored one, which may be another attempt's.

        Callers that have received no byte yet must be sent the returned one. ``recorded`` is false
        if the response waits in the backlog until the platform is available again.
        """

    async def abandon(self, run: ClaimedRun, ran: errors.Ran) -> None:
        """Release the claim if nothing ran or it is idempotent, else mark its outcome unknown."""

    async def lookup(self, team: str, key: str) -> StoredResponse | None:
        """Return a stored response; raises ``UNAVAILABLE`` if the platform can't be read."""

    async def inspect(self, team: str, key: str) -> StoredResponse | RequestState:
        """Return a stored response, or the state of a request without one; raises as ``lookup``."""


class UpstreamPool(Protocol):
    """The service ``upstreams``: a client for each upstream of the manifest in force."""

    def get(self, name: str) -> engine.Upstream:
        """Return the client of one upstream.

        :raises Refusal: ``UNAVAILABLE`` if the manifest has no such upstream.
        """


class Verdict(enum.Enum):
    """How a request fingerprint may run."""

    CLEAR = "clear"
    ALONE = "alone"
    CONDEMNED = "condemned"


class QuarantineDecision(msgspec.Struct, frozen=True):
    """A request that this process quarantined by its own evidence, or released.

    :param expires_s: seconds from now until the quarantine ends; 0 after a release.
    """

    fingerprint: str
    expires_s: float


class SuspectRecord(msgspec.Struct, frozen=True):
    """The crashes of a request that is not quarantined yet, to be kept beyond this process.

    :param expires_s: seconds from now until they no longer count; 0 once it completed.
    :param sightings: crashes that this process knows of; none once it completed.
    """

    fingerprint: str
    expires_s: float
    sightings: tuple[CrashSighting, ...] = ()


class CrashReports(Protocol):
    """Exchange of crash reports with the quarantines of other processes."""

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Subscribe to one type of report."""

    def publish(self, report: Quarantined | UpstreamCrashed) -> None:
        """Send a report to the other processes."""


class Quarantine(Protocol):
    """The service ``quarantine``: tracks requests that crash engines."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request may have crashed an engine."""

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may run: with others, alone on an engine, or not at all.

        Call it right before each run: a crash reported after it counts as a new crash.
        """

    async def wait_verdict(self, fingerprint: str) -> Verdict:
        """Return the verdict, after a short wait for peers' reports if they decide it."""

    def report_crash(self, upstream: str, in_flight: tuple[str, ...], started_ms: int = 0) -> None:
        """Report an engine's crash with the fingerprints that were in flight there.

        :param started_ms: Unix time of the start that crashed, in milliseconds; 0 if unknown.
        """

    def report_completion(self, fingerprint: str) -> None:
        """Report that a request completed."""

    def start_item(self, fingerprint: str) -> None:
        """Record that a batch item starts to run: a crash reported after it is a new one."""

    def item_may_run(self, fingerprint: str) -> bool:
        """Return whether a batch item may run now: a quarantined one does so only now and then."""
