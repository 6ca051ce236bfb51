"""Callers of the matrix: they ask, send again as they are told, and keep what they were told."""

import contextlib
import dataclasses
import json

import trio
from tests.matrix import world as worlds

from cornelgrade import errors
from cornelgrade.services import exchange, online

PATIENCE_S = 90.0
DEADLINE_S = 30.0
TOKENS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told by one attempt; ``refusal`` or ``body``, or neither if it broke."""

    vm: str
    body: bytes = b""
    refusal: errors.Refusal | None = None

    @property
    def answered(self) -> bool:
        """Whether this was a whole answer."""
        return bool(self.body)


async def confirm(world: worlds.World, key: str, vms: tuple[str, ...]) -> list[Told]:
    """Ask the plain service for something that runs at most once."""
    changes = {"service": "refills", "path": "/confirm", "body": b"{}", "idempotent": False}
    return await _until_final(world, vms, key=key, fingerprint=f"c-{key}", **changes)


async def stream(
    world: worlds.World, name: str, prompt: str, vms: tuple[str, ...], key: str = ""
) -> list[Told]:
    """Ask an engine for a streamed answer."""
    asked = {"model": "lishe", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    body = json.dumps(asked).encode()
    changes = {"service": "lishe-llm", "path": "/v1/completions", "body": body, "stream": True}
    return await _until_final(world, vms, key=key, fingerprint=f"s-{prompt}", **changes)


async def _until_final(world: worlds.World, vms: tuple[str, ...], **fields) -> list[Told]:
    """Send until an answer or a final error came; after a loss send the same at the next VM."""
    told: list[Told] = []
    end_s = trio.current_time() + PATIENCE_S
    while trio.current_time() < end_s:
        vm = vms[len(told) % len(vms)]
        number = world.next_number()
        told.append(await _once(world, vm, request(number, **fields)))
        if told[-1].answered or _final(told[-1].refusal, fields["key"]):
            return told
        refusal = told[-1].refusal
        await trio.sleep(refusal.retry_after_s or 0.2 if refusal else 0.2)
    return told


def _final(refusal: errors.Refusal | None, key: str) -> bool:
    """A refusal is final if it names no time to come back."""
    return refusal is not None and refusal.retry_after_s is None


async def _once(world: worlds.World, vm: str, req: exchange.Request) -> Told:
    try:
        body = await world.on(vm, lambda held: _whole(held, req))
    except errors.Refusal as exc:
        return Told(vm, refusal=exc)
    except worlds.VmLost:
        return Told(vm)
    return Told(vm, body=body)


async def _whole(vm: worlds.Vm, req: exchange.Request) -> bytes:
    service = vm.kern.find("online", online.Online)
    async with contextlib.aclosing(service.serve(req)) as parts:
        return b"".join([part async for part in parts if isinstance(part, bytes)])


def request(number: int, **fields) -> exchange.Request:
    """Make a request as the HTTP surface would."""
    made = {
        "request_id": f"r{number}",
        "team": "clinics",
        "method": "POST",
        "headers": (("idempotency-key", fields["key"]),) if fields["key"] else (),
        "rank": 0,
        "deadline_s": trio.current_time() + DEADLINE_S,
        "stream": False,
        "idempotent": True,
    }
    return exchange.Request(**made | fields)
