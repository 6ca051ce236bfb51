"""The service ``crash_detector``: which requests were in flight at an upstream that crashed.

A connection may break for many reasons. After one did, the upstream is asked for its load; it has
crashed if it does not respond, or if it responds that it was started anew. One outage is one crash:
an upstream counts as crashed again only if it has responded in between.
"""

import contextlib
import itertools
from collections.abc import Callable, Iterator

import msgspec
import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import engine
from cornelgrade.services import ports as shared_ports
from cornelgrade.services.edge import outage_checks, path_ends

# How long a failed request waits for the check before its retry. A crashed process refuses
# connections at once.
CHECK_WAIT_S = 0.15
# A caller that gives up after the upstream sent nothing for this long may have met a crash that
# reset no connection. Callers wait for 2 s at least.
SILENCE_S = 1.0
# Crashed upstreams that are remembered; most return as another start and are never met again.
MAX_DOWN = 256
# Progress of calls that an upstream may have been running.
_MAY_HAVE_RUN = frozenset((engine.Progress.SENT, engine.Progress.PART_ANSWERED))
_log = logs.Logger("crash_detector")


class _Boot(msgspec.Struct, frozen=True):
    """One start of an upstream."""

    upstream: str
    started_ms: int


class _Check(msgspec.Struct):
    """A check of one upstream.

    :ivar fingerprints: requests in flight there when a failure asked for the check, by call.
    """

    fingerprints: dict[int, str] = msgspec.field(default_factory=dict)
    done: trio.Event = msgspec.field(default_factory=trio.Event)


class CrashDetector:
    """Tracks the calls in flight at upstreams and reports crashes to the quarantine."""

    name = "crash_detector"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._quarantine = kern.find("quarantine", shared_ports.Quarantine)
        self._outage_checks = kern.find("outage_checks", outage_checks.OutageChecks)
        self._path_ends = kern.find("path_ends", path_ends.PathEnds)
        self._in_flight: dict[_Boot, dict[int, str]] = {}
        self._checks: dict[_Boot, _Check] = {}
        self._down: dict[_Boot, None] = {}
        self._call_numbers = itertools.count()
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Run checks until cancelled."""
        self._checks.clear()
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

    @contextlib.contextmanager
    def track_call(self, up: routes.Upstream, fingerprint: str) -> Iterator[None]:
        """Track a request as in flight at an upstream within the context."""
        boot, number = _get_boot(up), next(self._call_numbers)
        calls = self._in_flight.setdefault(boot, {})
        calls[number] = fingerprint
        try:
            yield
        finally:
            del calls[number]
            if not calls:
                del self._in_flight[boot]

    def record_response(self, up: routes.Upstream) -> None:
        """Record that an upstream responded."""
        self._down.pop(_get_boot(up), None)

    async def check_after(self, up: routes.Upstream, exc: engine.CallError) -> bool:
        """Check an upstream that may have been running a failed call; return whether it is down.

        A check that takes long ends in the background; the upstream then doesn't count as down.
        """
        if exc.progress not in _MAY_HAVE_RUN:
            return False
        self._path_ends.record_failure(up, exc)
        check = self._start_check(up)
        with trio.move_on_after(CHECK_WAIT_S):
            await check.done.wait()
        return _get_boot(up) in self._down

    def check_abandoned(self, up: routes.Upstream, last_received_s: float) -> None:
        """Check an upstream in the background if a caller gave up because it was silent.

        :param last_received_s: when it last sent something, on the process's clock.
        """
        if trio.current_time() - last_received_s >= SILENCE_S:
            self._start_check(up)

    def _start_check(self, up: routes.Upstream) -> _Check:
        """Check an upstream in the background, together with earlier failures there."""
        boot = _get_boot(up)
        check = self._checks.setdefault(boot, _Check())
        if not check.fingerprints and self._nursery is not None:
            self._nursery.start_soon(self._run_check, up, boot, check)
        check.fingerprints.update(self._in_flight.get(boot, {}))
        return check

    async def _run_check(self, up: routes.Upstream, boot: _Boot, check: _Check) -> None:
        try:
            reason = await self._outage_checks.find_outage(up)
        finally:
            self._checks.pop(boot, None)
        _log.info(
            "upstream_checked",
            upstream=up.name,
            crashed=reason is not None,
            reason=reason or "",
            in_flight=len(check.fingerprints),
        )
        if reason is None:
            self.record_response(up)
        elif boot not in self._down:
            self._record_crash(boot)
            if reason == outage_checks.RESTARTED or not await self._outage_checks.is_cut_off(up):
                in_flight = tuple(check.fingerprints.values())
                self._quarantine.report_crash(up.name, in_flight, up.started_ms)
        check.done.set()

    def _record_crash(self, boot: _Boot) -> None:
        self._down[boot] = None
        while len(self._down) > MAX_DOWN:
            del self._down[next(iter(self._down))]


def _get_boot(up: routes.Upstream) -> _Boot:
    return _Boot(up.name, up.started_ms)
