"""Concurrent callers that stream completions and record what they receive."""

import concurrent.futures
import dataclasses
import json
import time

import httpx
from tests.process import harness

from cornelgrade.standins import engine_wire

END_MARKER = "data: [DONE]"


@dataclasses.dataclass(frozen=True)
class StreamResult:
    """What a caller received.

    :param tokens: texts in the order of arrival.
    :param ended: the stream had its end marker.
    :param error: the error object, if there was one.
    :param longest_gap_s: longest time between two events, including the wait for the first.
    """

    prompt: str
    status: int = 0
    tokens: tuple[str, ...] = ()
    ended: bool = False
    error: dict | None = None
    longest_gap_s: float = 0.0
    elapsed_s: float = 0.0


def stream(fleet: harness.Fleet, prompt: str, tokens: int, vm: int = 0, **headers) -> StreamResult:
    """Stream one completion."""
    body = {"model": "lishe", "prompt": prompt, "max_tokens": tokens, "stream": True}
    texts: list[str] = []
    ended, error, longest_s = False, None, 0.0
    started_s = last_s = time.monotonic()
    with fleet.call(vm, headers=headers) as client:
        try:
            with client.stream("POST", "/v1/completions", json=body) as response:
                if response.status_code != 200:
                    error = json.loads(response.read())["error"]
                for line in response.iter_lines() if error is None else ():
                    if not line:
                        continue
                    now_s = time.monotonic()
                    longest_s = max(longest_s, now_s - last_s)
                    last_s = now_s
                    if line == END_MARKER:
                        ended = True
                    elif line.startswith("data: {"):
                        event = json.loads(line.removeprefix("data: "))
                        error = event.get("error")
                        if error is None:
                            texts.append(event["choices"][0]["text"])
                status = response.status_code
        except httpx.HTTPError as exc:
            return StreamResult(prompt, error={"code": "broken", "message": repr(exc)})
    elapsed_s = time.monotonic() - started_s
    return StreamResult(prompt, status, tuple(texts), ended, error, longest_s, elapsed_s)


def stream_many(fleet: harness.Fleet, count: int, tokens: int, vms: int = 1) -> list[StreamResult]:
    """Stream several completions concurrently, distributed over the VMs."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures = [
            pool.submit(stream, fleet, f"question {index}", tokens, index % vms)
            for index in range(count)
        ]
        return [future.result() for future in futures]


def expected_text(prompt: str, tokens: int, software_version: str = "") -> str:
    """Return the complete text that engine stand-ins of a version generate for a prompt."""
    return engine_wire.output(prompt, tokens, software_version=software_version)
