"""What each role costs at the target size, from slopes: ``python -m bench.capacity``.

Prints the slopes that this machine gave and the arithmetic of docs/CAPACITY.md. There is no seed:
nothing here is random.
"""

import dataclasses
import platform
import time

from bench import process_slopes, slopes

US_PER_S = 1_000_000
MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The size that the design is for; rates are a second, of the whole fleet."""

    vms: int = 390
    engines: int = 600
    requests: float = 4_800.0
    tokens: float = 1_000_000.0
    items: float = 490_000_000 / 86_400
    teams: int = 1_800
    control_core: float = 0.046
    control_mb: float = 64.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of arithmetic; ``value`` is in ``unit``."""

    what: str
    arithmetic: str
    value: float
    unit: str


def lines(target: Target, found: dict[str, float]) -> list[Line]:
    """Work out the costs of one VM at the target size."""
    requests = target.requests / target.vms
    items = target.items / target.vms
    members_mb = target.vms * found["member_b"] / MB
    teams_mb = target.teams * found["team_b"] / MB
    datagrams = target.control_core * US_PER_S / found["datagram_us"] * 2
    calls = target.control_core * US_PER_S / found["read_us"]
    return [
        Line("online requests", f"{target.requests:g} / {target.vms}", requests, "a second"),
        Line(
            "relayed tokens",
            f"{target.tokens:g} / {target.vms}",
            target.tokens / target.vms,
            "a second",
        ),
        Line("batch items", f"{target.items:.0f} / {target.vms}", items, "a second"),
        Line("members", f"{target.vms} x {found['member_b']:.0f} B", members_mb, "MB"),
        Line("teams", f"{target.teams} x {found['team_b']:.0f} B", teams_mb, "MB"),
        Line(
            "manifest as stored, teams only",
            f"{target.teams} x {found['manifest_b']:.0f} B",
            target.teams * found["manifest_b"] / MB,
            "MB of 1 MB",
        ),
        Line("histories", "bound by estimate", 8.0, "MB"),
        Line(
            "histories reach back",
            f"8 MB / {found['history_bound_b']:.0f} B / {requests:.1f} a second",
            8 * MB / found["history_bound_b"] / requests,
            "s",
        ),
        Line(
            "datagrams that the control budget holds, sent or received",
            f"{target.control_core} s / {found['datagram_us']:.0f} us x 2 ends",
            datagrams,
            "a second",
        ),
        Line(
            "platform calls that the control budget holds",
            f"{target.control_core} s / {found['read_us']:.0f} us",
            calls,
            "a second",
        ),
    ]


def process_lines(target: Target, found: dict[str, float]) -> list[Line]:
    """Work out what the two processes of a VM cost."""
    return [
        *_core(target.requests / target.vms, found["request_us"], "whole requests"),
        *_core(target.requests / target.vms, found["keyed_us"], "if all were keyed"),
        *_core(target.tokens / target.vms, found["token_us"], "relayed tokens"),
        *_core(target.items / target.vms, found["item_us"], "batch items"),
        Line(
            "idle gateway and worker",
            f"{found['gateway_idle_core']:.2f} + {found['worker_idle_core']:.2f}",
            found["gateway_idle_core"] + found["worker_idle_core"],
            f"% of a core, budget {target.control_core * 100:g}",
        ),
        Line(
            "memory of both",
            f"{found['gateway_idle_mb']:.1f} + {found['worker_idle_mb']:.1f}",
            found["gateway_idle_mb"] + found["worker_idle_mb"],
            f"MB, budget {target.control_mb:g}",
        ),
        _platform("writes", target, found),
        _platform("reads", target, found),
    ]


def _core(rate: float, cost_us: float, what: str) -> list[Line]:
    share = rate * cost_us / US_PER_S * 100
    return [Line(what, f"{rate:.1f} x {cost_us:.0f} us", share, "% of a core")]


def _platform(kind: str, target: Target, found: dict[str, float]) -> Line:
    """Work out the whole fleet's platform calls for batch work."""
    slope = found[f"item_{kind}"]
    arithmetic = f"{target.items:.0f} x {slope:.2f} / 1,000"
    return Line(f"platform {kind} for batch", arithmetic, target.items * slope / 1_000, "a second")


def main() -> None:
    """Measure and print."""
    measured = [*slopes.memory(), *slopes.processor(), *process_slopes.measure()]
    print(f"python -m bench.capacity, {time.strftime('%Y-%m-%d')}, {platform.machine()}\n")
    for slope in measured:
        print(f"{slope.what:45} {slope.value:12.1f}")
    print()
    found = {slope.key: slope.value for slope in measured}
    for line in lines(Target(), found) + process_lines(Target(), found):
        print(f"{line.what:60} {line.arithmetic:35} = {line.value:10.2f} {line.unit}")


if __name__ == "__main__":
    main()
