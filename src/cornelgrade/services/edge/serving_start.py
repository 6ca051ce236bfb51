"""Which start of an upstream serves a response.

An upstream may start again under its name unnoticed, so that the registration by which it was
chosen is of an earlier start. Once the next start is known, a connection that is still open leads
to that one.
"""

from cornelgrade import routes
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import software_versions
from cornelgrade.services.edge import fleet

_STEP = "follow upstream"


class ServingStart:
    """The start that serves the response on a channel.

    :param up: the upstream as it was registered when it was chosen.
    :param origin: what began the stream, ``None`` if it begins with this response.
    """

    def __init__(
        self,
        registered: fleet.Fleet,
        up: routes.Upstream,
        channel: http1.Channel,
        origin: software_versions.StreamOrigin | None,
    ) -> None:
        self._fleet = registered
        self._up = up
        self._channel = channel
        self._origin = origin
        self._begins = origin is None

    def follow_origin(self) -> software_versions.StreamOrigin:
        """Return what began the stream of which an event has arrived.

        :raises CallError: if another start began the stream than the one that serves it.
        """
        known = self._fleet.find_upstream(self._up.name)
        if (
            known is not None
            and known.started_ms != self._up.started_ms
            and self._channel.is_open()
        ):
            if not self._begins:
                raise engine.CallError(
                    "upstream was restarted before it went on with the stream",
                    step=_STEP,
                    peer=self._up.address,
                    progress=engine.Progress.PART_ANSWERED,
                )
            self._up, self._origin = known, None
        if self._origin is None:
            self._origin = software_versions.origin_at(self._up)
        return self._origin
