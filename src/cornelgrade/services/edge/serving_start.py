"""Which start of an upstream serves a response.

An upstream may start again under its name unnoticed, so that the registration by which it was
chosen is of an earlier start. Once the next start is known, a connection that is still open leads
to that one. A start is confirmed by its own report, asked for after the connection was opened.
"""

from cornelgrade import routes
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import software_versions
from cornelgrade.services.edge import fleet, outage_checks

# How long the first event of a stream waits until its upstream has confirmed its start. A report
# takes a few milliseconds; a sound upstream may be silent for a second.
CONFIRM_WAIT_S = 0.1
_STEP = "follow upstream"


class ServingStart:
    """The start that serves the response on a channel.

    :param up: the upstream as it was registered when it was chosen.
    :param origin: what began the stream, ``None`` if it begins with this response.
    :ivar begins: whether the stream begins with this response.
    """

    def __init__(
        self,
        registered: fleet.Fleet,
        checks: outage_checks.OutageChecks,
        up: routes.Upstream,
        channel: http1.Channel,
        origin: software_versions.StreamOrigin | None,
    ) -> None:
        self._fleet = registered
        self._checks = checks
        self._up = up
        self._channel = channel
        self._origin = origin
        self.begins = origin is None
        self._confirmed = False

    @property
    def is_confirmed(self) -> bool:
        """Whether the start has reported itself since the channel was opened."""
        if not self._confirmed:
            self._confirmed = self._fleet.has_reported(self._up, self._channel.opened_s)
        return self._confirmed

    async def follow_origin(self) -> software_versions.StreamOrigin:
        """Return what began the stream of which an event has arrived.

        A stream that began elsewhere waits until the start that goes on with it is confirmed. One
        that begins waits for :data:`CONFIRM_WAIT_S` at most, at its first event.

        :raises CallError: if another start began the stream than the one that serves it.
        """
        await self._wait_confirmed()
        known = self._fleet.find_upstream(self._up.name)
        if (
            not self.is_confirmed
            and known is not None
            and known.started_ms != self._up.started_ms
            and self._channel.is_open()
        ):
            if not self.begins:
                raise self._error("upstream was restarted before it went on with the stream")
            self._up, self._origin = known, None
        if not self.is_confirmed:
            if not self.begins:
                raise self._error("the start that goes on with the stream is not confirmed")
            self._checks.confirm_soon(self._up, self._channel.opened_s)
        if self._origin is None:
            self._origin = software_versions.origin_at(self._up)
        return self._origin

    async def _wait_confirmed(self) -> None:
        if self.is_confirmed:
            return
        if not self.begins:
            await self._checks.find_doubt(self._up, self._channel.opened_s)
        elif self._origin is None:
            await self._checks.confirm(self._up, self._channel.opened_s, CONFIRM_WAIT_S)

    async def settle_origin(self) -> software_versions.StreamOrigin | None:
        """Return what began the stream once its response has ended, ``None`` before any event."""
        if self._origin is None or not self.begins:
            return self._origin
        if not self.is_confirmed:
            await self._checks.find_doubt(self._up, self._channel.opened_s)
        if self.is_confirmed:
            return self._origin
        return software_versions.unconfirmed_origin(self._up)

    def _error(self, message: str) -> engine.CallError:
        return engine.CallError(
            message,
            step=_STEP,
            peer=self._up.address,
            progress=engine.Progress.PART_ANSWERED,
        )
