"""The service ``conditions``: collects the services' reports and when each condition began."""

import time
from collections.abc import Callable

import msgspec
import trio

import cornelgrade
from cornelgrade import kernel, logs, metrics, reports, settings
from cornelgrade.policy import conditions
from cornelgrade.services import drain, ports

REFRESH_INTERVAL_S = 1.0

_DEGRADED = metrics.gauge("cornelgrade_degraded_conditions", "Conditions that hold now.")


class Conditions:
    """Refreshes the status of this process once a second.

    :param now_s: returns Unix time in seconds.
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
        self._degraded_since: dict[str, float] = {}
        self._upstream_state_since: dict[str, float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Refresh the status until cancelled; log conditions that begin and end."""
        started()
        while True:
            self.status()
            await trio.sleep(REFRESH_INTERVAL_S)

    def status(self) -> reports.Status:
        """Return the fleet's state as this VM sees it."""
        now_s = self._now_s()
        accepted = self._get_manifest()
        view = self._get_view()
        collected = self._collect_reports()
        upstreams = tuple(up for _, report in collected for up in report.upstreams)
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
            upstreams=self._add_since(upstreams, now_s),
            degraded=self._build_degraded(
                collected, conditions.list_conditions(view, accepted, upstreams), now_s
            ),
            jobs_at_risk=tuple(job for _, report in collected for job in report.jobs_at_risk),
            services=tuple(reports.ServiceReport(name, report.facts) for name, report in collected),
            teams=tuple(team for _, report in collected for team in report.teams),
        )

    def ready(self) -> bool:
        """Return whether a load balancer should send requests to this VM."""
        draining = self._kern.has("drain") and not self._kern.find("drain", drain.Drain).ready
        return self._get_manifest() is not None and not draining

    def _get_manifest(self) -> ports.AcceptedManifest | None:
        if not self._kern.has("configuration"):
            return None
        return self._kern.find("configuration", ports.Configuration).current()

    def _get_view(self) -> ports.View | None:
        if not self._kern.has("membership"):
            return None
        return self._kern.find("membership", ports.Membership).view()

    def _collect_reports(self) -> list[tuple[str, reports.Report]]:
        services = self._kern.services()
        return [(s.name, s.report()) for s in services if isinstance(s, ports.Reports)]

    def _add_since(
        self, upstreams: tuple[reports.UpstreamReport, ...], now_s: float
    ) -> tuple[reports.UpstreamReport, ...]:
        keys = [f"{up.name} {up.state}" for up in upstreams]
        self._upstream_state_since = conditions.track_start_times(
            self._upstream_state_since, keys, now_s
        )
        return tuple(
            msgspec.structs.replace(up, since_s=up.since_s or self._upstream_state_since[key])
            for up, key in zip(upstreams, keys, strict=True)
        )

    def _build_degraded(
        self,
        collected: list[tuple[str, reports.Report]],
        derived: tuple[str, ...],
        now_s: float,
    ) -> tuple[reports.Degraded, ...]:
        degraded = [item for _, report in collected for item in report.degraded]
        degraded += [reports.Degraded(what) for what in derived]
        previous = self._degraded_since
        self._degraded_since = conditions.track_start_times(
            previous, [item.what for item in degraded], now_s
        )
        self._log_changes(previous)
        return tuple(
            reports.Degraded(item.what, item.since_s or self._degraded_since[item.what])
            for item in degraded
        )

    def _log_changes(self, previous: dict[str, float]) -> None:
        for what in self._degraded_since.keys() - previous.keys():
            self._log.warning("degraded", what=what)
        for what in previous.keys() - self._degraded_since.keys():
            self._log.info("degraded_cleared", what=what)
        _DEGRADED.set({}, len(self._degraded_since))
