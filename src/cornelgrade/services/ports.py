"""Protocols and values through which services know each other."""

import dataclasses
import enum
from typing import Protocol, TypeVar, runtime_checkable

import trio

from cornelgrade import errors, manifest, reports
from cornelgrade.adapters import engine

T = TypeVar("T")


class MemberState(enum.StrEnum):
    """State of a VM in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One VM as the membership knows it; addresses are ``IP:port``."""

    vm: str
    failure_domain: str
    region: str
    incarnation: int
    state: MemberState
    peer_address: str
    worker_address: str
    gateway_address: str
    manifest_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A snapshot of the membership; a hint, never a proof.

    :param self_vm: the VM whose view it is.
    """

    self_vm: str
    members: tuple[Member, ...]

    def usable(self, failure_domain: str = "") -> tuple[Member, ...]:
        """Give members that may get new work, of one failure domain if it is named.

        A suspect still counts until it is found dead.
        """
        good = (MemberState.ALIVE, MemberState.SUSPECT)
        return tuple(
            m
            for m in self.members
            if m.state in good and (not failure_domain or m.failure_domain == failure_domain)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A gateway tells an engine's batch owner its outstanding online requests.

    Sent when it changes and at least every second: an owner that hears nothing for a few seconds
    falls back to a small window.

    :param vm: the gateway's VM, set by the membership that receives it.
    """

    upstream: str
    outstanding: int
    queued: int
    vm: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Yield:
    """A gateway asks an engine's batch owner to free slots at once.

    :param vm: the gateway's VM, set by the membership that receives it.
    """

    upstream: str
    slots: int
    vm: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request fingerprint that may crash engines.

    :param crashes: crashes that it caused, from the sender's own evidence; 0 for a suspect.
    :param expires_s: seconds from now until it is forgotten.
    :param source: the process that counts.
    """

    fingerprint: str
    crashes: int
    expires_s: float
    source: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """What one process had in flight on an upstream that crashed.

    :param source: the process that reports.
    :param in_flight: number of different requests.
    :param suspects: those among them that were in flight at an earlier crash.
    :param fingerprint: the only suspect or the only request; empty if there are several.
    """

    source: str
    upstream: str
    in_flight: int
    suspects: int
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """An upstream that should get no new work."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """An engine's owner tells a gateway how many requests it may have outstanding there."""

    upstream: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAnnounced:
    """A member has a later manifest in force than any that was heard of before."""

    vm: str
    version: int


PeerMessage = Load | Yield | Share | Quarantined | UpstreamCrashed | Leaving


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedManifest:
    """The manifest in force.

    :param version: the platform's version; 0 before the first manifest.
    :param confirmed: read from the platform, not only heard from a peer.
    """

    manifest: manifest.Manifest
    version: int
    confirmed: bool = True


class Membership(Protocol):
    """The service ``membership``."""

    def view(self) -> View:
        """Give the latest view."""

    def send(self, vm: str, message: PeerMessage) -> None:
        """Queue a datagram to a VM's worker (load, yield) or gateway (the rest)."""

    def broadcast(self, message: PeerMessage) -> None:
        """Queue a message to every gateway of the region, carried by the probing rounds."""

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Receive one type of peer message or :class:`VersionAnnounced`.

        A slow reader loses the oldest.
        """

    def set_version(self, version: int) -> None:
        """Tell the others which manifest version is in force at this VM."""

    def leave(self) -> None:
        """Announce that this VM takes no new work; the members keep it out from then on."""


class Configuration(Protocol):
    """The service ``configuration``."""

    def current(self) -> AcceptedManifest | None:
        """Give the manifest in force, ``None`` before the first one."""

    async def wait_newer(self, version: int) -> AcceptedManifest:
        """Wait for a manifest later than ``version``."""

    async def put(self, raw: bytes, if_match: int | None) -> AcceptedManifest:
        """Check and accept a manifest; raises a Refusal (``STALE``, ``BAD_REQUEST``, ...)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
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

    What belongs to a team is noted under ``TEAM/ID``, where the id is a request's id or key, a
    job's id or ``JOB/CUSTOM_ID``, so that a team can read its own histories and no others. The
    rest is noted under ``manifest/VERSION`` and ``UPSTREAM/order``.
    """

    def record(self, subject: str, step: str, sentence: str, peer: str = "") -> None:
        """Add a step to the history of ``subject``."""

    def get_steps(self, subject: str) -> tuple[Step, ...]:
        """Give a history, oldest step first."""

    def find(self, identifier: str) -> tuple[str, ...]:
        """Give the subjects that are ``identifier`` or end with ``/`` and it."""


class HistoryScope(enum.StrEnum):
    """Which subjects an identifier stands for: itself, or all that :meth:`Histories.find` gives."""

    EXACT = "exact"
    ANY = "any"


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """What other processes know of a subject; ``silent`` names those that did not answer."""

    steps: tuple[reports.HistoryStep, ...]
    silent: tuple[str, ...]


class PeerHistories(Protocol):
    """The service ``peer_histories``: asks the other processes of the fleet for their histories."""

    async def gather(self, scope: HistoryScope, identifier: str) -> Gathered:
        """Ask all of them at once, for a bounded time."""


class RecordedHistories(Protocol):
    """Tells what the durable records know of a team's requests, jobs and items."""

    async def get_steps(self, team: str, identifier: str) -> tuple[Step, ...]:
        """Give the steps, empty if nothing is known."""

    async def at_risk(self) -> tuple[reports.JobAtRisk, ...]:
        """Give open jobs that may miss their due times; raises ``UnavailableError``."""


class FleetHistories(Protocol):
    """Tells what the platform keeps of manifest versions and engines' orders."""

    async def get_steps(self, subject: str) -> tuple[Step, ...]:
        """Give the steps of ``manifest/VERSION`` or ``UPSTREAM/order``, empty if unknown."""


@runtime_checkable
class Reports(Protocol):
    """A service that has something to say in ``GET /v1/status``; any service may offer it."""

    def report(self) -> reports.Report:
        """Give a snapshot; it is asked about once a second and must be cheap."""


class Conditions(Protocol):
    """The service ``conditions``: what is degraded in this process and since when."""

    def status(self) -> reports.Status:
        """Give the fleet's state as this VM sees it."""

    def ready(self) -> bool:
        """Tell whether a balancer should send requests here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A keyed request that wants to run.

    :param digest: hash of method, path and body; another body under the same key is refused.
    :param wait_s: longest wait for the same request that is already running.
    """

    team: str
    key: str
    request_id: str
    digest: str
    idempotent: bool
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The whole answer to a keyed request."""

    status: int
    content_type: str
    body: bytes
    recorded: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimedRun:
    """The right to run a claimed request; only its holder may dispatch it."""

    claim: Claim
    nonce: str


class RequestState(enum.StrEnum):
    """State of a keyed request that has no stored answer."""

    RUNNING = "running"
    UNKNOWN = "unknown"
    NOT_FOUND = "not_found"


class Records(Protocol):
    """The service ``records``: durable outcomes of keyed requests."""

    async def begin(self, claim: Claim) -> ClaimedRun | StoredAnswer:
        """Claim a request, or give the answer that it already has.

        For a non-idempotent request the run record is durable before this returns. Waits for a
        running twin up to ``claim.wait_s``.

        :raises Refusal: ``CONFLICT`` (other body), ``OUTCOME_UNKNOWN`` (ran at a VM that died),
            ``UNAVAILABLE`` (not run: the record could not be made), ``DEADLINE`` (the twin still
            runs after ``wait_s``; ``ran`` is unknown).
        """

    async def store(self, run: ClaimedRun, answer: StoredAnswer) -> StoredAnswer:
        """Store the answer and give the one that stands, for callers that have no byte yet.

        ``recorded`` is false if it waits in the backlog for the platform to return.
        """

    async def abandon(self, run: ClaimedRun, ran: errors.Ran) -> None:
        """Give the claim up: released if nothing ran or it is idempotent, else kept unknown."""

    async def lookup(self, team: str, key: str) -> StoredAnswer | None:
        """Read a stored answer; raises ``UNAVAILABLE`` if the platform cannot be read."""

    async def inspect(self, team: str, key: str) -> StoredAnswer | RequestState:
        """Read a stored answer or the state of a request that has none; raises as ``lookup``."""


class UpstreamPool(Protocol):
    """The service ``upstreams``: a client for each upstream of the manifest in force."""

    def get(self, name: str) -> engine.Upstream:
        """Give the client of one upstream.

        :raises Refusal: ``UNAVAILABLE`` if the manifest has no such upstream.
        """


class Verdict(enum.Enum):
    """How a request fingerprint may run."""

    CLEAR = "clear"
    ALONE = "alone"
    CONDEMNED = "condemned"


class Quarantine(Protocol):
    """The service ``quarantine``: which requests crash engines."""

    def verdict(self, fingerprint: str) -> Verdict:
        """Say how a request may run: with others, alone on an engine, or not at all.

        Ask right before each run: a crash after it is a new one.
        """

    async def settle(self, fingerprint: str) -> Verdict:
        """Say the same, after a short wait for peers' reports where these decide."""

    def report_crash(self, upstream: str, in_flight: tuple[str, ...]) -> None:
        """Report an engine's crash with the fingerprints that were in flight there."""

    def report_completion(self, fingerprint: str) -> None:
        """Report that a request ended well."""
