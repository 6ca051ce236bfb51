"""Changes of keys, also during other faults, and a team that exceeds its rate limit."""

import functools

import trio

from bench.soak import faults, world

KEYS_GAP_S = 2.5
HOT_GAP_S = 6.0
HOT_S = (2.0, 4.0)
# From the beginning of another fault until the keys change.
CHANGE_DELAY_S = (0.0, 0.5)
# Of the VMs that the store rejects or that hear nothing from it.
REJECTED_SHARES = (1 / 3, 1.0)


class _AtGateways(faults.Injection):
    """A fault that touches gateways only."""

    def free_daemons(self, role: str = "") -> list[world.Daemon]:
        return super().free_daemons(world.GATEWAY)


async def _change_keys(act: faults.Act | None, injection: faults.Injection) -> None:
    """Replace a key while another fault is at work."""
    async with trio.open_nursery() as nursery:
        if act is not None:
            nursery.start_soon(act, _AtGateways(injection.system, injection.rng))
            await trio.sleep(injection.between(CHANGE_DELAY_S))
        await injection.system.change(keys=injection.rng)


async def _restart_all(injection: faults.Injection) -> None:
    async with trio.open_nursery() as nursery:
        for daemon in injection.free_daemons():
            nursery.start_soon(injection.kill, daemon)


async def _reject(injection: faults.Injection) -> None:
    """Let some or all VMs lose the store, which the operator still reaches."""
    names = sorted(injection.system.daemons)
    share = injection.rng.choice(REJECTED_SHARES)
    async with trio.open_nursery() as nursery:
        for name in injection.rng.sample(names, round(share * len(names))):
            nursery.start_soon(faults.cut_from_store, injection, name)


async def _heat(injection: faults.Injection) -> None:
    injection.system.hot_until_s = trio.current_time() + injection.between(HOT_S)
    await trio.sleep_until(injection.system.hot_until_s)


_DURING: dict[str, faults.Act | None] = {
    "keys": None,
    "keys_kill": faults.ACTS["kill"],
    "keys_freeze": faults.ACTS["freeze"],
    "keys_store_silent": faults.LATER_ACTS["store_silent"],
    "keys_reject": _reject,
    "keys_restart_all": _restart_all,
}
_KEY_ACTS = {name: functools.partial(_change_keys, act) for name, act in _DURING.items()}
KINDS: tuple[faults.Kind, ...] = (
    ("keys", KEYS_GAP_S, _KEY_ACTS),
    ("hot", HOT_GAP_S, {"hot_team": _heat}),
)
