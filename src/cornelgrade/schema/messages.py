"""Messages that the fleet's processes exchange in datagrams."""

import msgspec

from cornelgrade.policy import shared_allowance
from cornelgrade.services import ports


class Ping(msgspec.Struct, frozen=True):
    """Asks the receiver for an :class:`Ack` with the same number."""

    number: int


class Ack(msgspec.Struct, frozen=True):
    """Answers a :class:`Ping`, or a :class:`ProbeRequest` whose target answered."""

    number: int


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to ping ``vm`` and to forward its ack under ``number``."""

    number: int
    vm: str


class Join(msgspec.Struct, frozen=True):
    """Asks the receiver for all members that it knows."""


class Roster(msgspec.Struct, frozen=True):
    """Carries only membership records: part of the reply to :class:`Join`, or a refresh."""


class Version(msgspec.Struct, frozen=True):
    """Announces the version of the configuration that is in force at the sender.

    :param vm: the sender, set on receipt.
    """

    version: int
    vm: str = ""


class TeamUse(msgspec.Struct, frozen=True):
    """Number of a team's online requests outstanding at one upstream.

    :param team: :func:`fair_queue.team_id` of the team.
    """

    team: int
    online: int


class UpstreamUse(msgspec.Struct, frozen=True):
    """Numbers of requests outstanding at one upstream.

    :param online: online requests: a gateway sends its own, the upstream's batch owner those of all
        gateways but the receiver.
    :param batch: batch items, sent by the upstream's batch owner only.
    :param teams: the teams of a gateway's online requests; those without a team aren't listed.
    :param over_share: ids of the teams that are over their fair share of the upstreams of this
        service that the batch owner has. It lists them with one upstream of each service.
    :param took_ms: duration of a request: from a gateway that of the successful response that has
        just ended, from the batch owner the mean of all gateways; 0 for none.
    """

    upstream: str
    online: int
    batch: int = 0
    teams: tuple[TeamUse, ...] = ()
    over_share: tuple[int, ...] = ()
    took_ms: int = 0


class Uses(msgspec.Struct, frozen=True):
    """Usage of upstreams: a gateway sends it to their batch owner, which replies with its own.

    :param vm: the sender, set on receipt.
    """

    uses: tuple[UpstreamUse, ...]
    vm: str = ""


class ItemFailures(msgspec.Struct, frozen=True):
    """Number of failed runs of one item that a worker knows of, its own and other workers'."""

    item: int
    failures: int


class JobClaim(msgspec.Struct, frozen=True):
    """A worker's knowledge of a job's items.

    :param running: items that the worker runs, as a bit set.
    :param done: items that it knows are done, as a bit set.
    :param failed: items with failed runs.
    :param received_ms: when the job was accepted, which tells it from an earlier one of its id; 0
        from older versions, which don't tell it.
    """

    job: str
    running: int
    done: int
    failed: tuple[ItemFailures, ...] = ()
    received_ms: int = 0


class JobClaims(msgspec.Struct, frozen=True):
    """Announces to the other workers which items the sender runs.

    :param vm: the sender, set on receipt.
    """

    claims: tuple[JobClaim, ...]
    vm: str = ""


class StoreProgress(msgspec.Struct, frozen=True):
    """Tells that the platform's store responded to the sender just now.

    :param followed: kinds of objects that the sender watches, each with the newest revision of an
        object that it received.
    """

    followed: tuple[tuple[str, int], ...]


class StreamOrigin(msgspec.Struct, frozen=True):
    """Tells which software version of which service began a stream.

    :param request: hash of the id of the caller's attempt that began it.
    """

    request: int
    service: str
    version: str


class StreamOrigins(msgspec.Struct, frozen=True):
    """Tells the origins of streams, unasked or in reply to :class:`StreamOriginQuery`."""

    origins: tuple[StreamOrigin, ...]


class StreamOriginQuery(msgspec.Struct, frozen=True):
    """Asks for the origin of a stream; who doesn't know it doesn't reply.

    :param vm: the sender, set on receipt.
    """

    request: int
    vm: str = ""


class UpstreamLimit(msgspec.Struct, frozen=True):
    """A rate limit that one start of an upstream named.

    :param per_s: requests a second from all VMs together, 0 if the limit has ended.
    """

    upstream: str
    started_ms: int
    per_s: float


class UpstreamLimits(msgspec.Struct, frozen=True):
    """Tells limits: a VM tells an upstream's batch owner, which tells all VMs.

    :param vm: the sender, set on receipt.
    """

    limits: tuple[UpstreamLimit, ...]
    vm: str = ""


class AllowanceRequest(msgspec.Struct, frozen=True):
    """Asks the owner of a limit for tokens; with 0 it only tells that the sender lives.

    :param used: tokens of this limit that the sender used recently, whoever granted them.
    :param vm: the sender, set on receipt.
    """

    key: shared_allowance.LimitKey
    wanted: int
    used: int = 0
    vm: str = ""


class AllowanceGrant(msgspec.Struct, frozen=True):
    """Reply to :class:`AllowanceRequest`.

    :param tokens: number of requests that the receiver may send within the lease.
    :param wait_s: if there are none, the time after which the owner has the next one.
    :param expected_s: the same after the VMs that are waiting for one have got theirs.
    """

    key: shared_allowance.LimitKey
    tokens: int
    wait_s: float
    expected_s: float


class ReachQuery(msgspec.Struct, frozen=True):
    """Asks which services' upstreams the receiver reaches.

    :param vm: the sender, set on receipt.
    """

    vm: str = ""


class ReachReport(msgspec.Struct, frozen=True):
    """Reply to :class:`ReachQuery`.

    :param services: those of which the sender reaches upstreams and takes requests.
    :param active: requests in progress there.
    :param vm: the sender, set on receipt.
    """

    services: tuple[str, ...]
    active: int
    vm: str = ""


class UpstreamQuery(msgspec.Struct, frozen=True):
    """Asks whether an upstream that doesn't respond to the sender responds to the receiver.

    :param started_ms: Unix time of the upstream's start in milliseconds, 0 if not known.
    :param vm: the sender, set on receipt.
    """

    upstream: str
    started_ms: int
    vm: str = ""


class UpstreamResponds(msgspec.Struct, frozen=True):
    """Reply to :class:`UpstreamQuery`; there is none if the upstream doesn't respond."""

    upstream: str


class UpstreamOutcome(msgspec.Struct, frozen=True):
    """Tells who judges a service's upstreams that a response failed, or how a trial ended.

    :param request: hash of what the request shares with its repeats.
    :param successes: the sender's recent successes at the upstream.
    :param served: whether the sender saw the same request succeed lately.
    :param broken: the connection broke, rather than that a response reported the failure.
    :param vm: the sender, set on receipt.
    """

    upstream: str
    started_ms: int
    request: int = 0
    successes: int = 0
    failed: bool = True
    is_trial: bool = False
    served: bool = False
    broken: bool = False
    vm: str = ""


class Ejection(msgspec.Struct, frozen=True):
    """An upstream that is to get no requests but trials.

    :param failure_share: share of its requests that failed.
    :param failed_trials: rounds of trials that failed.
    :param trials: number of trials that the receiver may send now.
    :param takes_any: whether a trial may be a request that can't be repeated.
    :param ended: whether the upstream has been readmitted.
    """

    upstream: str
    started_ms: int
    failure_share: float = 0.0
    failed_trials: int = 0
    trials: int = 0
    takes_any: bool = False
    ended: bool = False


class Ejections(msgspec.Struct, frozen=True):
    """Tells all VMs which upstreams are ejected, when that changes and each second.

    :param vm: the sender, set on receipt.
    """

    ejections: tuple[Ejection, ...]
    vm: str = ""


Body = (
    Ping
    | Ack
    | ProbeRequest
    | Join
    | Roster
    | Version
    | Uses
    | JobClaims
    | StoreProgress
    | StreamOrigins
    | StreamOriginQuery
    | UpstreamLimits
    | AllowanceRequest
    | AllowanceGrant
    | ReachQuery
    | ReachReport
    | UpstreamQuery
    | UpstreamResponds
    | UpstreamOutcome
    | Ejections
    | ports.PeerMessage
)


class Rumor(msgspec.Struct, frozen=True):
    """A message that is gossiped to every gateway; identified by ``origin`` and ``number``."""

    origin: str
    number: int
    message: ports.PeerMessage


class Datagram(msgspec.Struct, frozen=True):
    """One datagram.

    :param sender: the sending process: the VM's name, followed by ``/worker`` for a worker.
    :param session: start time of the sending process in Unix microseconds.
    :param sequence: increases by one with each datagram of a session.
    :param sent_s: Unix time in seconds.
    :param members: piggybacked membership records, the sender's own first.
    :param plan_version: version of the plan in force at the sender, 0 if it has or tells none.
    """

    sender: str
    session: int
    sequence: int
    sent_s: float
    body: Body
    members: tuple[ports.Member, ...] = ()
    rumors: tuple[Rumor, ...] = ()
    plan_version: int = 0
