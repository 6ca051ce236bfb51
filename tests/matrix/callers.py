"""Callers of the matrix, which send requests, retry as instructed and record every result."""

import contextlib
import dataclasses
import json

import trio
from tests.matrix import world as worlds

from cornelgrade import errors
from cornelgrade.services import exchange, online

RETRY_LIMIT_S = 90.0
DEADLINE_S = 30.0
TOKENS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt: ``refusal`` or ``body``, or neither if the VM was lost."""

    vm: str
    body: bytes = b""
    refusal: errors.Refusal | None = None

    @property
    def answered(self) -> bool:
        """Whether the attempt got a response."""
        return bool(self.body)


async def send_confirmation(
    world: worlds.World, key: str, vms: tuple[str, ...]
) -> list[AttemptResult]:
    """Send a call that runs at most once to the plain service."""
    changes = {"service": "refills", "path": "/confirm", "body": b"{}", "idempotent": False}
    return await _send_until_final(world, vms, key=key, fingerprint=f"c-{key}", **changes)


async def send_stream(
    world: worlds.World, name: str, prompt: str, vms: tuple[str, ...], key: str = ""
) -> list[AttemptResult]:
    """Send a streaming completion request to an engine."""
    payload = {"model": "lishe", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    body = json.dumps(payload).encode()
    changes = {"service": "lishe-llm", "path": "/v1/completions", "body": body, "stream": True}
    return await _send_until_final(world, vms, key=key, fingerprint=f"s-{prompt}", **changes)


async def _send_until_final(
    world: worlds.World, vms: tuple[str, ...], **fields
) -> list[AttemptResult]:
    """Retry at the VMs in turn until a response or a final error arrives."""
    results: list[AttemptResult] = []
    end_s = trio.current_time() + RETRY_LIMIT_S
    while trio.current_time() < end_s:
        vm = vms[len(results) % len(vms)]
        number = world.next_number()
        results.append(await _send_once(world, vm, make_request(number, **fields)))
        if results[-1].answered or _is_final(results[-1].refusal, fields["key"]):
            return results
        refusal = results[-1].refusal
        await trio.sleep(refusal.retry_after_s or 0.2 if refusal else 0.2)
    return results


def _is_final(refusal: errors.Refusal | None, key: str) -> bool:
    """Return whether a refusal is final, which means that it has no retry-after time."""
    return refusal is not None and refusal.retry_after_s is None


async def _send_once(world: worlds.World, vm: str, req: exchange.Request) -> AttemptResult:
    try:
        body = await world.call_at(vm, lambda target_vm: _read_body(target_vm, req))
    except errors.Refusal as exc:
        return AttemptResult(vm, refusal=exc)
    except worlds.VmLost:
        return AttemptResult(vm)
    return AttemptResult(vm, body=body)


async def _read_body(vm: worlds.Vm, req: exchange.Request) -> bytes:
    service = vm.kern.find("online", online.Online)
    async with contextlib.aclosing(service.serve(req)) as parts:
        return b"".join([part async for part in parts if isinstance(part, bytes)])


def make_request(number: int, **fields) -> exchange.Request:
    """Return a request as the HTTP front would build it."""
    defaults = {
        "request_id": f"r{number}",
        "team": "clinics",
        "method": "POST",
        "headers": (("idempotency-key", fields["key"]),) if fields["key"] else (),
        "rank": 0,
        "deadline_s": trio.current_time() + DEADLINE_S,
        "stream": False,
        "idempotent": True,
    }
    return exchange.Request(**defaults | fields)
