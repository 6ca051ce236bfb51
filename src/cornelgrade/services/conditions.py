"""The service ``conditions``: gathers the services' reports and keeps since when things hold."""

import time
from collections.abc import Callable

import msgspec
import trio

import cornelgrade
from cornelgrade import kernel, logs, metrics, reports, settings
from cornelgrade.policy import conditions
from cornelgrade.services import drain, ports

TICK_S = 1.0

_DEGRADED = metrics.gauge("cornelgrade_degraded_conditions", "Conditions that hold now.")


class Conditions:
    """Looks at the process's services once a second.

    :param now_s: gives Unix time in seconds.
    """

    name = "conditions"

    def __init__(
        self,
        kern: kernel.Kernel,
        cfg: settings.Settings,
        now_s: Callable[[], float] = time.time,
    ) -> None:
        self._kern = kern
        self._cfg = cfg
        self._now_s = now_s
        self._log = logs.Logger(self.name)
        self._since: dict[str, float] = {}
        self._states: dict[str, float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Keep the times true, and log what begins and ends."""
        started()
        while True:
            self.status()
            await trio.sleep(TICK_S)

    def status(self) -> reports.Status:
        """Give the fleet's state as this VM sees it."""
        now_s = self._now_s()
        accepted = self._accepted()
        view = self._view()
        given = self._gather()
        upstreams = tuple(up for _, report in given for up in report.upstreams)
        version = accepted.version if accepted else 0
        return reports.Status(
            vm=self._cfg.vm,
            failure_domain=self._cfg.failure_domain,
            region=self._cfg.region,
            software=cornelgrade.__version__,
            at_s=now_s,
            ready=self.ready(),
            manifest_version=version,
            manifest_confirmed=bool(accepted and accepted.confirmed),
            members=conditions.members(view, version),
            upstreams=self._dated(upstreams, now_s),
            degraded=self._degraded(given, conditions.degraded(view, accepted, upstreams), now_s),
            jobs_at_risk=tuple(job for _, report in given for job in report.jobs_at_risk),
            services=tuple(reports.ServiceReport(name, report.facts) for name, report in given),
        )

    def ready(self) -> bool:
        """Tell whether a balancer should send requests here."""
        draining = self._kern.has("drain") and not self._kern.find("drain", drain.Drain).ready
        return self._accepted() is not None and not draining

    def _accepted(self) -> ports.AcceptedManifest | None:
        if not self._kern.has("configuration"):
            return None
        return self._kern.find("configuration", ports.Configuration).current()

    def _view(self) -> ports.View | None:
        if not self._kern.has("membership"):
            return None
        return self._kern.find("membership", ports.Membership).view()

    def _gather(self) -> list[tuple[str, reports.Report]]:
        services = self._kern.services()
        return [(s.name, s.report()) for s in services if isinstance(s, ports.Reports)]

    def _dated(
        self, upstreams: tuple[reports.UpstreamReport, ...], now_s: float
    ) -> tuple[reports.UpstreamReport, ...]:
        keys = [f"{up.name} {up.state}" for up in upstreams]
        self._states = conditions.since(self._states, keys, now_s)
        return tuple(
            msgspec.structs.replace(up, since_s=up.since_s or self._states[key])
            for up, key in zip(upstreams, keys, strict=True)
        )

    def _degraded(
        self,
        given: list[tuple[str, reports.Report]],
        derived: tuple[str, ...],
        now_s: float,
    ) -> tuple[reports.Degraded, ...]:
        found = [item for _, report in given for item in report.degraded]
        found += [reports.Degraded(what) for what in derived]
        before = self._since
        self._since = conditions.since(before, [item.what for item in found], now_s)
        self._tell_changes(before)
        return tuple(
            reports.Degraded(item.what, item.since_s or self._since[item.what]) for item in found
        )

    def _tell_changes(self, before: dict[str, float]) -> None:
        for what in self._since.keys() - before.keys():
            self._log.warning("degraded", what=what)
        for what in before.keys() - self._since.keys():
            self._log.info("no_longer_degraded", what=what)
        _DEGRADED.set({}, len(self._since))
