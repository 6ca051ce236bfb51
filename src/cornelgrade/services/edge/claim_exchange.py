"""Exchanges claims on batch items between workers."""

import trio

from cornelgrade.schema import messages
from cornelgrade.services.edge import _broadcast, open_job, peers

# Keep a datagram below its maximum size. A single claim fits with all of its items failed.
MAX_JOBS_PER_DATAGRAM = 8
MAX_FAILED_PER_DATAGRAM = 64


class ClaimExchange:
    """Sends and receives claims.

    :param jobs: the open jobs of this worker, owned by the caller.
    """

    def __init__(self, peer_service: peers.Peers, jobs: dict[str, open_job.OpenJob]) -> None:
        self._peers = peer_service
        self._jobs = jobs
        self._delta: _broadcast.BroadcastDelta[messages.JobClaim] = _broadcast.BroadcastDelta()

    async def receive_claims(self, received: trio.MemoryReceiveChannel[messages.JobClaims]) -> None:
        """Apply claims from other workers until cancelled."""
        async for message in received:
            now_s = trio.current_time()
            for remote in message.claims:
                job = self._jobs.get(remote.job)
                if job is not None and job.is_claimed_by(remote):
                    job.apply_claim(message.vm, remote, now_s)
                    job.cancel_duplicates(self._peers.vm, message.vm, remote, now_s)

    def send_claims(self) -> None:
        """Send changed claims to the other workers, and periodically all of them.

        A full broadcast without claims is sent too, as a heartbeat. Jobs whose input was not read
        here are left out: this worker runs nothing of them and can't give up their items.
        """
        now_s = trio.current_time()
        changed, is_full = self._delta.select_entries(
            {name: job.claim_to_send(now_s) for name, job in self._jobs.items() if job.items}
        )
        groups = group_claims(tuple(changed.values()))
        if is_full and not groups:
            groups = [()]
        for vm in self._peers.broadcast_targets(peers.Role.WORKER) if groups else ():
            for group in groups:
                self._peers.send(vm, messages.JobClaims(group))


def group_claims(claims: tuple[messages.JobClaim, ...]) -> list[tuple[messages.JobClaim, ...]]:
    """Split claims into groups that fit in one datagram each."""
    groups: list[tuple[messages.JobClaim, ...]] = []
    for claim in claims:
        last = groups[-1] if groups else ()
        failed = sum(len(other.failed) for other in (*last, claim))
        if last and len(last) < MAX_JOBS_PER_DATAGRAM and failed <= MAX_FAILED_PER_DATAGRAM:
            groups[-1] = (*last, claim)
        else:
            groups.append((claim,))
    return groups
