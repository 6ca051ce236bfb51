"""What workers tell each other of the items that they run."""

import trio

from cornelgrade.schema import messages
from cornelgrade.services.edge import _beat, open_job, peers

# Jobs in one datagram, so that it stays below its size.
JOBS_IN_A_DATAGRAM = 8


class ClaimExchange:
    """Tells and hears claims.

    :param jobs: the open jobs of this worker, which owns them.
    """

    def __init__(self, known: peers.Peers, jobs: dict[str, open_job.OpenJob]) -> None:
        self._peers = known
        self._jobs = jobs
        self._beat: _beat.Beat[messages.JobClaim] = _beat.Beat()

    async def hear(self, heard: trio.MemoryReceiveChannel[messages.JobClaims]) -> None:
        """Take in what the others tell until cancelled."""
        async for got in heard:
            now_s = trio.current_time()
            for remote in got.claims:
                job = self._jobs.get(remote.job)
                if job is not None:
                    job.apply_claim(got.vm, remote.running, remote.done, now_s)

    def tell(self) -> None:
        """Tell the others what is new; from time to time everything, if only that one lives."""
        now_s = trio.current_time()
        due, everything = self._beat.due(
            {
                name: messages.JobClaim(name, job.claims_to_send(now_s), job.done)
                for name, job in self._jobs.items()
            }
        )
        new = tuple(due.values())
        groups = [
            new[at : at + JOBS_IN_A_DATAGRAM] for at in range(0, len(new), JOBS_IN_A_DATAGRAM)
        ]
        if everything and not groups:
            groups = [()]
        for vm in self._peers.audience(peers.Role.WORKER) if groups else ():
            for group in groups:
                self._peers.send(vm, messages.JobClaims(group))
