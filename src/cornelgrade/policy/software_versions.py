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
    """The versions that served lately, as one process has seen or read them.

    :param since_s: since when the process follows the registrations, on its monotonic clock.
    """

    def __init__(self, since_s: float) -> None:
        self._since_s = since_s
        self._last_seen_s: dict[StreamOrigin, float] = {}
        self._serving: frozenset[StreamOrigin] = frozenset()

    def observe(self, upstreams: Iterable[routes.Upstream], now_s: float) -> None:
        """Record the registered upstreams, including those that are leaving.

        A start that is not registered yet counts as a version of its own until it is.
        """
        present = tuple(upstreams)
        # What was registered until now served until now.
        before = self._serving
        self._serving = frozenset(map(origin_at, present))
        seen = self._last_seen_s | dict.fromkeys(before | self._serving, now_s)
        self._last_seen_s = {}
        for origin, last_seen_s in seen.items():
            if now_s - last_seen_s <= STREAM_LIFETIME_S:
                resolved = resolve_origin(origin, present)
                last_seen_s = max(last_seen_s, self._last_seen_s.get(resolved, last_seen_s))
                self._last_seen_s[resolved] = last_seen_s

    def restore(self, origins: Iterable[StreamOrigin], now_s: float) -> None:
        """Add what may have begun streams until now, by a record of other processes."""
        self._last_seen_s |= dict.fromkeys(origins, now_s)

    def list_all_origins(self, now_s: float) -> frozenset[StreamOrigin]:
        """Return what may have begun a stream of any service, as far as this process knows."""
        return frozenset(
            origin
            for origin, last_seen_s in self._last_seen_s.items()
            if origin in self._serving or now_s - last_seen_s <= STREAM_LIFETIME_S
        )

    def list_origins(self, service: str, now_s: float) -> tuple[StreamOrigin, ...]:
        """Return what may have begun a stream of a service, as far as this process knows."""
        return tuple(o for o in self.list_all_origins(now_s) if o.service == service)

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
