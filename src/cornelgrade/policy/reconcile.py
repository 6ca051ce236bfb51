"""Decides which orders to send to engines to bring their observed state to the desired state."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from cornelgrade import manifest
from cornelgrade.adapters import engine

MAX_CHANGING_SHARE = 0.34
UNLOAD_DELAY_S = 60.0
DOMAIN_TURN_TIMEOUT_S = 900.0
MATCHES = "matches"


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredEngine:
    """Desired state of one engine, from the manifest."""

    upstream: str
    service: str
    failure_domain: str
    models: tuple[engine.Loaded, ...]
    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedEngine:
    """Observed state of one engine.

    :param state: its last reported state, ``None`` while it can't be reached.
    :param ordered: the order that it is carrying out, if any.
    :param refused: why its last order failed, if it did.
    :param retry_at: monotonic time before which a failed order is not retried.
    """

    state: engine.EngineState | None = None
    ordered: str = ""
    refused: str = ""
    retry_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One order that brings an engine closer to its desired state.

    :param interrupts: online requests may be slower while the order is carried out.
    :param loads: the order loads weights from the weight store.
    """

    kind: engine.OrderKind
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""
    interrupts: bool = True
    loads: bool = False

    def order(self, fencing: int) -> engine.Order:
        """Return the engine order for this step with a fencing number."""
        return engine.Order(
            kind=self.kind,
            fencing=fencing,
            model=self.model,
            version=self.version,
            adapter=self.adapter,
            role=self.role,
        )

    def __str__(self) -> str:
        version = f" version {self.version}" if self.version else ""
        adapter = f" adapter {self.adapter}" if self.adapter else ""
        model = f" {self.model}" if self.model else ""
        role = f" {self.role}" if self.role else ""
        return f"{self.kind.value}{model}{version}{adapter}{role}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of one round.

    :param now: monotonic time.
    :param manifest_age_s: how long the manifest has been in force here.
    :param loads: number of loads that the weight store's rate limit allows.
    """

    now: float
    manifest_age_s: float
    loads: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """A step to order from an engine."""

    upstream: str
    step: Step


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """Desired and observed state of an engine and why they differ, in words."""

    upstream: str
    wanted: str
    seen: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The orders of a round and the status of every engine."""

    orders: tuple[PlannedOrder, ...]
    statuses: tuple[EngineStatus, ...]


def list_desired_engines(accepted: manifest.Manifest) -> tuple[DesiredEngine, ...]:
    """Return the desired state of every engine in a manifest."""
    models = {model.name: model for model in accepted.models}
    services = {service.name: service for service in accepted.services}
    return tuple(
        DesiredEngine(
            upstream=upstream.name,
            service=upstream.service,
            failure_domain=upstream.failure_domain,
            models=tuple(_make_loaded(models[m]) for m in services[upstream.service].models),
            role=upstream.role,
        )
        for upstream in accepted.upstreams
        if services[upstream.service].kind == "model"
    )


def _make_loaded(model: manifest.Model) -> engine.Loaded:
    return engine.Loaded(model.name, model.version, tuple(a.name for a in model.adapters))


def list_steps(wanted: DesiredEngine, state: engine.EngineState, unload: bool) -> tuple[Step, ...]:
    """Return the steps that an engine still needs, in the order of execution.

    :param unload: also unload models and adapters that are not desired.
    """
    loaded = {model.model: model for model in state.models}
    needed: list[Step] = []
    for model in wanted.models:
        needed += _plan_model_loads(model, loaded.get(model.model))
    if state.role != wanted.role:
        needed.append(Step(engine.OrderKind.ROLE, role=wanted.role))
    if unload:
        needed += _plan_unloads(wanted, state)
    return tuple(needed)


def _plan_model_loads(model: engine.Loaded, current: engine.Loaded | None) -> Iterable[Step]:
    if current is None or current.version != model.version:
        yield Step(
            engine.OrderKind.LOAD,
            model=model.model,
            version=model.version,
            interrupts=current is not None,
            loads=True,
        )
    loaded_adapters = current.adapters if current is not None else ()
    for adapter in model.adapters:
        if adapter not in loaded_adapters:
            yield Step(
                engine.OrderKind.LOAD,
                model=model.model,
                version=model.version,
                adapter=adapter,
                interrupts=False,
                loads=True,
            )


def _plan_unloads(wanted: DesiredEngine, state: engine.EngineState) -> Iterable[Step]:
    kept = {model.model: model.adapters for model in wanted.models}
    for current in state.models:
        if current.model not in kept:
            yield Step(engine.OrderKind.UNLOAD, model=current.model, interrupts=False)
            continue
        for adapter in current.adapters:
            if adapter not in kept[current.model]:
                yield Step(
                    engine.OrderKind.UNLOAD,
                    model=current.model,
                    adapter=adapter,
                    interrupts=False,
                )


def max_changing(engines: int) -> int:
    """Return how many of a service's engines may change or be unavailable at once.

    :param engines: engines of the service in one failure domain.
    """
    return max(1, math.floor(engines * MAX_CHANGING_SHARE))


def find_blocking_domain(
    wanted: Iterable[DesiredEngine],
    observed: Mapping[str, ObservedEngine],
    service: str,
    failure_domain: str,
) -> str:
    """Return an earlier failure domain that still has engines of a service to change, or ``""``.

    Failure domains change one after another, in the order of their names. An engine that can't be
    reached does not block later domains.
    """
    for other in sorted(wanted, key=lambda w: w.failure_domain):
        if other.failure_domain >= failure_domain:
            return ""
        seen = observed.get(other.upstream, ObservedEngine())
        if other.service == service and _needs_disruptive_step(other, seen.state):
            return other.failure_domain
    return ""


def _needs_disruptive_step(wanted: DesiredEngine, state: engine.EngineState | None) -> bool:
    if state is None or state.leaving:
        return False
    return any(step.interrupts for step in list_steps(wanted, state, unload=False))


@dataclasses.dataclass(slots=True)
class _RoundUsage:
    """Budget left to a round and engines already unavailable, by service."""

    loads: int
    away: collections.Counter[str]
    engines: collections.Counter[str]

    def has_capacity(self, service: str) -> bool:
        return self.away[service] < max_changing(self.engines[service])


def plan(
    wanted: tuple[DesiredEngine, ...],
    observed: Mapping[str, ObservedEngine],
    failure_domain: str,
    bounds: Bounds,
) -> Plan:
    """Choose the orders of a round for one failure domain's engines.

    :param wanted: engines of all failure domains.
    """
    own = [w for w in wanted if w.failure_domain == failure_domain]
    used = _RoundUsage(
        loads=bounds.loads,
        away=collections.Counter(
            w.service for w in own if _is_unavailable(observed.get(w.upstream))
        ),
        engines=collections.Counter(w.service for w in own),
    )
    orders: list[PlannedOrder] = []
    statuses: list[EngineStatus] = []
    blocked = {
        service: find_blocking_domain(wanted, observed, service, failure_domain)
        for service in used.engines
    }
    for item in own:
        seen = observed.get(item.upstream, ObservedEngine())
        step, why = _choose_step(item, seen, bounds, used, blocked[item.service])
        if step is not None:
            orders.append(PlannedOrder(item.upstream, step))
            used.loads -= step.loads
            used.away[item.service] += step.interrupts
        statuses.append(_make_status(item, seen.state, why))
    return Plan(tuple(orders), tuple(statuses))


def _is_unavailable(seen: ObservedEngine | None) -> bool:
    return seen is None or seen.state is None or seen.state.leaving or bool(seen.ordered)


def _choose_step(
    item: DesiredEngine, seen: ObservedEngine, bounds: Bounds, used: _RoundUsage, blocked_by: str
) -> tuple[Step | None, str]:
    """Return an engine's next step if it may be ordered now, and the reason for the decision."""
    if seen.state is None:
        return None, "it can't be reached"
    if seen.state.leaving:
        return None, "it is leaving"
    if seen.ordered:
        return None, f"it carries out: {seen.ordered}"
    waits_to_unload = bounds.manifest_age_s < UNLOAD_DELAY_S
    remaining = list_steps(item, seen.state, unload=not waits_to_unload)
    if not remaining:
        extra = waits_to_unload and list_steps(item, seen.state, unload=True)
        return None, "what is not wanted any more stays for a while" if extra else MATCHES
    step = remaining[0]
    blocker = _find_blocker(item, step, seen, bounds, used, blocked_by)
    return (None, blocker) if blocker else (step, f"ordered: {step}")


def _find_blocker(
    item: DesiredEngine,
    step: Step,
    seen: ObservedEngine,
    bounds: Bounds,
    used: _RoundUsage,
    blocked_by: str,
) -> str:
    limit = max_changing(used.engines[item.service])
    table = (
        (
            bounds.now < seen.retry_at,
            f"the last order failed ({seen.refused}); it is tried again later",
        ),
        (
            step.interrupts and bool(blocked_by) and bounds.manifest_age_s < DOMAIN_TURN_TIMEOUT_S,
            f"failure domain {blocked_by} changes first",
        ),
        (
            step.interrupts and not used.has_capacity(item.service),
            f"at most {limit} of {used.engines[item.service]} engines of {item.service} "
            "may change or be away at once",
        ),
        (step.loads and used.loads < 1, "the weight store's rate is used up"),
    )
    return next((why for holds, why in table if holds), "")


def _make_status(item: DesiredEngine, state: engine.EngineState | None, why: str) -> EngineStatus:
    seen = describe(state.models, state.role) if state is not None else "unknown"
    return EngineStatus(item.upstream, describe(item.models, item.role), seen, why)


def describe(models: tuple[engine.Loaded, ...], role: str) -> str:
    """Describe the models and the role of an engine in a few words."""
    parts = [
        " + ".join((f"{model.model} version {model.version}", *model.adapters)) for model in models
    ]
    return f"{', '.join(parts) or 'no model'}; role {role}"
