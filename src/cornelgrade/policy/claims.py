"""Which worker runs which chunk of a job: the ledger of claims and its rules.

Conditional writes of the chunk objects guarantee safety; the ledger only distributes the work. A
claim is a lease: its holder renews or releases it in time. Another worker takes it over after it
has seen the claim unchanged for the length of the lease by its own clock.
"""

import dataclasses
from collections.abc import Mapping, Set

import msgspec

NO_HOLDER = ""


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Counts of ended items by outcome."""

    ok: int = 0
    error: int = 0
    unknown: int = 0
    cancelled: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(
            ok=self.ok + other.ok,
            error=self.error + other.error,
            unknown=self.unknown + other.unknown,
            cancelled=self.cancelled + other.cancelled,
        )

    @property
    def ended(self) -> int:
        """Number of ended items of all outcomes."""
        return self.ok + self.error + self.unknown + self.cancelled


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The right to run one chunk.

    :param epoch: incremented for each new holder of the chunk.
    :param lease_s: time for which another worker must have seen this claim unchanged before it may
        take it over.
    :param renewals: incremented by each renewal, so that other workers see a changed claim.
    """

    chunk: int
    holder: str
    epoch: int
    lease_s: float
    renewals: int = 0


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """Claims on the chunks of one job, stored as its entry in the index of open jobs.

    :param chunks: number of chunks, 0 until the first claim.
    :param next_chunk: first chunk that has never been claimed.
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
        """Whether no worker holds a claim."""
        return all(claim.holder == NO_HOLDER for claim in self.claims)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A worker process.

    :param incarnation: differs for each start of the process.
    """

    vm: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.vm}/{self.incarnation}"


def holder_vm(holder: str) -> str:
    """Return the VM of a holder in its text form."""
    return holder.partition("/")[0]


class FirstSeenTimes:
    """Times at which this worker first saw each claim unchanged, by its own monotonic clock."""

    def __init__(self) -> None:
        self._first: dict[tuple[str, Claim], float] = {}

    def observe(self, job: str, ledger: Ledger, now_s: float) -> Mapping[Claim, float]:
        """Record the current claims of a job and return when each was first seen."""
        current = {(job, claim) for claim in ledger.claims}
        for key in [key for key in self._first if key[0] == job and key not in current]:
            del self._first[key]
        for key in current:
            self._first.setdefault(key, now_s)
        return {claim: self._first[(job, claim)] for claim in ledger.claims}

    def retain_jobs(self, jobs: Set[str]) -> None:
        """Forget the claims of all jobs except ``jobs``."""
        for key in [key for key in self._first if key[0] not in jobs]:
            del self._first[key]


def is_expired(
    claim: Claim,
    me: Holder,
    first_seen_s: float,
    now_s: float,
    usable_vms: frozenset[str],
    grace_s: float,
) -> bool:
    """Return whether a claim may be taken over.

    Claims of an earlier process of the same VM expire immediately, since that process has ended.
    Claims of a VM that the membership reports unusable expire after at most ``grace_s``, all
    others after their whole lease.
    """
    if claim.holder == NO_HOLDER:
        return True
    vm = holder_vm(claim.holder)
    if claim.holder == str(me):
        return False
    if vm == me.vm:
        return True
    wait_s = claim.lease_s if vm in usable_vms else min(claim.lease_s, grace_s)
    return now_s - first_seen_s >= wait_s


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """A ledger and the claims just added to it: on unclaimed chunks, and taken over from others."""

    ledger: Ledger
    new_claims: tuple[Claim, ...] = ()
    taken_over: tuple[Claim, ...] = ()


def claim_chunks(
    ledger: Ledger, me: Holder, count: int, lease_s: float, expired_claims: frozenset[Claim]
) -> ClaimResult:
    """Claim up to ``count`` chunks, expired claims before unclaimed chunks; none if closed.

    If any claim has expired, one is taken over even if ``count`` is 0.
    """
    if ledger.closed:
        return ClaimResult(ledger)
    taken_over = tuple(
        Claim(claim.chunk, str(me), claim.epoch + 1, lease_s)
        for claim in ledger.claims
        if claim in expired_claims
    )[: max(1, count)]
    first = ledger.next_chunk
    end = min(ledger.chunks, first + max(0, count - len(taken_over)))
    new_claims = tuple(Claim(chunk, str(me), 1, lease_s) for chunk in range(first, end))
    taken = {claim.chunk for claim in taken_over}
    remaining = tuple(claim for claim in ledger.claims if claim.chunk not in taken)
    changed = msgspec.structs.replace(
        ledger, claims=remaining + taken_over + new_claims, next_chunk=end
    )
    return ClaimResult(ledger=changed, new_claims=new_claims, taken_over=taken_over)


def record_ended(ledger: Ledger, ended: Mapping[Claim, Tally]) -> Ledger:
    """Remove the claims of ended chunks and add their tallies.

    Claims that another holder has taken over are left unchanged.
    """
    ended_by_claim = {(c.chunk, c.holder, c.epoch): tally for c, tally in ended.items()}
    remaining, tally = [], ledger.tally
    for claim in ledger.claims:
        key = (claim.chunk, claim.holder, claim.epoch)
        if key in ended_by_claim:
            tally = tally.plus(ended_by_claim[key])
        else:
            remaining.append(claim)
    return msgspec.structs.replace(ledger, claims=tuple(remaining), tally=tally)


def release_claims(ledger: Ledger, returned: Set[Claim]) -> Ledger:
    """Release claims on unfinished chunks, so that any worker may claim them immediately."""
    returned_keys = {(claim.chunk, claim.holder, claim.epoch) for claim in returned}
    updated = tuple(
        (
            Claim(claim.chunk, NO_HOLDER, claim.epoch, 0.0)
            if (claim.chunk, claim.holder, claim.epoch) in returned_keys
            else claim
        )
        for claim in ledger.claims
    )
    return msgspec.structs.replace(ledger, claims=updated)


def close_ledger(ledger: Ledger) -> Ledger:
    """Close a ledger unless a worker holds a claim; released claims are removed."""
    if any(claim.holder != NO_HOLDER for claim in ledger.claims):
        return ledger
    return msgspec.structs.replace(ledger, claims=(), closed=True)


def renew_claims(ledger: Ledger, holder: str, chunks: frozenset[int]) -> Ledger:
    """Renew a holder's claims on ``chunks``."""
    renewed = tuple(
        (
            msgspec.structs.replace(claim, renewals=claim.renewals + 1)
            if claim.holder == holder and claim.chunk in chunks
            else claim
        )
        for claim in ledger.claims
    )
    return msgspec.structs.replace(ledger, claims=renewed)


def is_held(ledger: Ledger, claim: Claim) -> bool:
    """Return whether a claim is still in the ledger, renewed or not."""
    return any(
        (c.chunk, c.holder, c.epoch) == (claim.chunk, claim.holder, claim.epoch)
        for c in ledger.claims
    )
