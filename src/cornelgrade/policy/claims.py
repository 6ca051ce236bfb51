"""Which worker runs which chunk of a job: the ledger of claims and its rules.

Safety rests on conditional writes of the chunk objects; the ledger only shares work out. A claim
is a lease: its holder renews or ends it in time, and a successor waits it out from its own first
sight of it, by its own clock.
"""

import dataclasses
from collections.abc import Mapping, Set

import msgspec

NOBODY = ""


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of ended items by outcome."""

    ok: int = 0
    error: int = 0
    unknown: int = 0
    cancelled: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Add two tallies."""
        return Tally(
            ok=self.ok + other.ok,
            error=self.error + other.error,
            unknown=self.unknown + other.unknown,
            cancelled=self.cancelled + other.cancelled,
        )

    @property
    def ended(self) -> int:
        """The number of all ended items."""
        return self.ok + self.error + self.unknown + self.cancelled


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The right to run one chunk.

    :param epoch: grows with each holder of the chunk.
    :param lease_s: how long a successor waits from its first sight of this claim.
    :param renewals: grows with each renewal, so that a successor sees it anew.
    """

    chunk: int
    holder: str
    epoch: int
    lease_s: float
    renewals: int = 0


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """Claims on the chunks of one job; the value of its entry in the index of open jobs.

    :param chunks: number of chunks, 0 until the first claim.
    :param next_chunk: the first chunk that nobody has claimed yet.
    :param started_at_s: Unix time of the first claim.
    :param closed: no chunk may be claimed any more.
    """

    created_at_s: float
    chunks: int = 0
    next_chunk: int = 0
    claims: tuple[Claim, ...] = ()
    tally: Tally = Tally()
    started_at_s: float = 0.0
    closed: bool = False

    @property
    def complete(self) -> bool:
        """Whether every chunk has ended."""
        return 0 < self.chunks == self.next_chunk and not self.claims

    @property
    def unclaimed(self) -> bool:
        """Whether no worker has a claim."""
        return all(claim.holder == NOBODY for claim in self.claims)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A worker process.

    :param incarnation: differs with every start of the process.
    """

    vm: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.vm}/{self.incarnation}"


def vm_of(holder: str) -> str:
    """Give the VM of a holder's text form."""
    return holder.partition("/")[0]


class Sightings:
    """When this worker first saw each claim as it stands, by its own monotonic clock."""

    def __init__(self) -> None:
        self._first: dict[tuple[str, Claim], float] = {}

    def note(self, job: str, ledger: Ledger, now_s: float) -> Mapping[Claim, float]:
        """Remember the claims of a job and give the time of the first sight of each."""
        current = {(job, claim) for claim in ledger.claims}
        for key in [key for key in self._first if key[0] == job and key not in current]:
            del self._first[key]
        for key in current:
            self._first.setdefault(key, now_s)
        return {claim: self._first[(job, claim)] for claim in ledger.claims}

    def keep(self, jobs: Set[str]) -> None:
        """Drop every job that is not among ``jobs``."""
        for key in [key for key in self._first if key[0] not in jobs]:
            del self._first[key]


def lapsed(
    claim: Claim,
    me: Holder,
    first_seen_s: float,
    now_s: float,
    usable_vms: frozenset[str],
    grace_s: float,
) -> bool:
    """Say whether a claim may be taken over.

    An earlier process of the same VM has ended, so its claims lapse at once. A holder whose VM
    the membership does not count as usable is waited for ``grace_s``, any other its whole lease.
    """
    if claim.holder == NOBODY:
        return True
    vm = vm_of(claim.holder)
    if claim.holder == str(me):
        return False
    if vm == me.vm:
        return True
    wait_s = claim.lease_s if vm in usable_vms else min(claim.lease_s, grace_s)
    return now_s - first_seen_s >= wait_s


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """A ledger with the claims just made in it; ``over`` are those taken from others."""

    ledger: Ledger
    fresh: tuple[Claim, ...] = ()
    over: tuple[Claim, ...] = ()


def take(
    ledger: Ledger, me: Holder, count: int, lease_s: float, expired_claims: frozenset[Claim]
) -> Taken:
    """Claim up to ``count`` fresh chunks, and lapsed ones in their place; none if closed."""
    if ledger.closed:
        return Taken(ledger)
    over = tuple(
        Claim(claim.chunk, str(me), claim.epoch + 1, lease_s)
        for claim in ledger.claims
        if claim in expired_claims
    )[: max(1, count)]
    first = ledger.next_chunk
    end = min(ledger.chunks, first + max(0, count - len(over)))
    fresh = tuple(Claim(chunk, str(me), 1, lease_s) for chunk in range(first, end))
    taken = {claim.chunk for claim in over}
    remaining = tuple(claim for claim in ledger.claims if claim.chunk not in taken)
    changed = msgspec.structs.replace(ledger, claims=remaining + over + fresh, next_chunk=end)
    return Taken(ledger=changed, fresh=fresh, over=over)


def release(ledger: Ledger, ended: Mapping[Claim, Tally]) -> Ledger:
    """Record ended chunks; claims that passed to another holder are left alone."""
    ended_by_claim = {(c.chunk, c.holder, c.epoch): tally for c, tally in ended.items()}
    remaining, tally = [], ledger.tally
    for claim in ledger.claims:
        key = (claim.chunk, claim.holder, claim.epoch)
        if key in ended_by_claim:
            tally = tally.plus(ended_by_claim[key])
        else:
            remaining.append(claim)
    return msgspec.structs.replace(ledger, claims=tuple(remaining), tally=tally)


def give_back(ledger: Ledger, returned: Set[Claim]) -> Ledger:
    """Let go of chunks that have not ended, so that anybody may take them over at once."""
    ended_by_claim = {(claim.chunk, claim.holder, claim.epoch) for claim in returned}
    given = tuple(
        (
            Claim(claim.chunk, NOBODY, claim.epoch, 0.0)
            if (claim.chunk, claim.holder, claim.epoch) in ended_by_claim
            else claim
        )
        for claim in ledger.claims
    )
    return msgspec.structs.replace(ledger, claims=given)


def close(ledger: Ledger) -> Ledger:
    """Close a ledger on which nobody has a claim; claims given back fall away."""
    if any(claim.holder != NOBODY for claim in ledger.claims):
        return ledger
    return msgspec.structs.replace(ledger, claims=(), closed=True)


def renew(ledger: Ledger, holder: str, chunks: frozenset[int]) -> Ledger:
    """Renew a holder's claims on some chunks."""
    renewed = tuple(
        (
            msgspec.structs.replace(claim, renewals=claim.renewals + 1)
            if claim.holder == holder and claim.chunk in chunks
            else claim
        )
        for claim in ledger.claims
    )
    return msgspec.structs.replace(ledger, claims=renewed)


def held(ledger: Ledger, claim: Claim) -> bool:
    """Say whether a claim still stands, renewed or not."""
    return any(
        (c.chunk, c.holder, c.epoch) == (claim.chunk, claim.holder, claim.epoch)
        for c in ledger.claims
    )
