"""Which software versions of a service may have begun a stream that is still taken up."""

import functools
from collections.abc import Iterable

import msgspec

from cornelgrade import routes

# No stream is taken up longer after it began than this.
STREAM_LIFETIME_S = 60.0
_MS_PER_S = 1000.0
# Marks origins that are sent to other gateways as the version of a stream.
_UNCONFIRMED = " or later"


class StreamOrigin(msgspec.Struct, frozen=True):
    """What began a stream; the stream goes on only there."""

    service: str
    version: str


def origin_at(up: routes.Upstream) -> StreamOrigin:
    """Return the origin of streams that begin at an upstream.

    While its version isn't known, they go on at the same start of it only.
    """
    if up.restarted:
        return _origin_of_start(up)
    return _make_origin(up.service, up.version)


def unconfirmed_origin(up: routes.Upstream) -> StreamOrigin:
    """Return the origin of a stream that began at an upstream, but maybe at its next start.

    Such a stream goes on nowhere.
    """
    return StreamOrigin(up.service, f"{up.name} started {up.started_ms}{_UNCONFIRMED}")


def is_unconfirmed(origin: StreamOrigin) -> bool:
    """Return whether an origin is one of :func:`unconfirmed_origin`."""
    return origin.version.endswith(_UNCONFIRMED)


def resolve_origin(origin: StreamOrigin, upstreams: Iterable[routes.Upstream]) -> StreamOrigin:
    """Return an origin with its version, if it is a start whose version is known by now."""
    for up in upstreams:
        if not up.restarted and up.service == origin.service and origin == _origin_of_start(up):
            return origin_at(up)
    return origin


def _origin_of_start(up: routes.Upstream) -> StreamOrigin:
    return StreamOrigin(up.service, f"{up.name} started {up.started_ms}")


@functools.lru_cache(maxsize=256)
def _make_origin(service: str, version: str) -> StreamOrigin:
    """Return one object for all streams, of which a process remembers many."""
    return StreamOrigin(service, version)


class VersionHistory:
    """The versions that were registered lately, as one process has seen them.

    :param since_s: since when the process follows the registrations, on its monotonic clock.
    """

    def __init__(self, since_s: float) -> None:
        self._since_s = since_s
        self._last_seen_s: dict[StreamOrigin, float] = {}
        self._registered: frozenset[StreamOrigin] = frozenset()

    def observe(self, upstreams: Iterable[routes.Upstream], now_s: float) -> None:
        """Record the registered upstreams, including those that are leaving."""
        # What was registered until now served until now.
        before = self._registered
        self._registered = frozenset(origin_at(up) for up in upstreams if not up.restarted)
        self._last_seen_s |= dict.fromkeys(before | self._registered, now_s)
        for origin, last_seen_s in tuple(self._last_seen_s.items()):
            if now_s - last_seen_s > STREAM_LIFETIME_S:
                del self._last_seen_s[origin]

    def list_origins(self, service: str, now_s: float) -> tuple[StreamOrigin, ...]:
        """Return what may have begun a stream of a service, as far as this process knows."""
        return tuple(
            origin
            for origin, last_seen_s in self._last_seen_s.items()
            if origin.service == service
            and (origin in self._registered or now_s - last_seen_s <= STREAM_LIFETIME_S)
        )

    def is_complete(self, now_s: float) -> bool:
        """Return whether no version can have left before this process began to look.

        The timeout of a stream's route doesn't count, as it limits each attempt of its caller.
        """
        return now_s - self._since_s >= STREAM_LIFETIME_S


def has_recent_start(upstreams: Iterable[routes.Upstream], service: str, unix_s: float) -> bool:
    """Return whether an upstream of a service may have started so recently that it replaces others.

    One that doesn't tell its start may have.
    """
    earliest_ms = (unix_s - STREAM_LIFETIME_S) * _MS_PER_S
    return any(up.service == service and not 0 < up.started_ms <= earliest_ms for up in upstreams)
