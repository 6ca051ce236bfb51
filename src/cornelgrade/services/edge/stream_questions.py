"""Asks upstreams whether a stream goes on after an end that only its connection marked."""

from cornelgrade import kernel, routes
from cornelgrade.adapters import engine
from cornelgrade.services.edge import fleet, upstream_limits

_STEP = "ask for more events"


class StreamQuestions:
    """Decides which upstreams may be asked, and accounts for what is sent to them."""

    def __init__(self, kern: kernel.Kernel) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)

    def start(self, up: routes.Upstream) -> None:
        """Account for a question to an upstream.

        :raises CallError: if it gets no new requests.
        """
        usable = {
            (reg.upstream.name, reg.upstream.started_ms)
            for reg in self._fleet.usable_registrations()
        }
        if (up.name, up.started_ms) not in usable:
            raise engine.CallError(
                "connection ended, and the upstream takes no new requests",
                step=_STEP,
                peer=up.address,
                progress=engine.Progress.PART_ANSWERED,
            )
        self._limits.take(up)
