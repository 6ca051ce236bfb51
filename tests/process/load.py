"""Callers in threads: streams and whole questions whose answers are checked for wholeness."""

import concurrent.futures
import dataclasses
import json
import time

import httpx
from tests.process import harness

from cornelgrade.standins import engine_wire

END = "data: [DONE]"


@dataclasses.dataclass(frozen=True)
class Told:
    """What a caller was told.

    :param tokens: texts in the order in which they came.
    :param ended: the stream had its end marker, or the whole answer was complete.
    :param error: the error object, if there was one.
    :param longest_gap_s: longest silence between two events, the first included.
    """

    prompt: str
    status: int = 0
    tokens: tuple[str, ...] = ()
    ended: bool = False
    error: dict | None = None
    longest_gap_s: float = 0.0
    elapsed_s: float = 0.0


def stream(fleet: harness.Fleet, prompt: str, tokens: int, vm: int = 0, **headers) -> Told:
    """Ask one streamed question."""
    body = {"model": "lishe", "prompt": prompt, "max_tokens": tokens, "stream": True}
    texts: list[str] = []
    ended, error, longest_s = False, None, 0.0
    began_s = last_s = time.monotonic()
    with fleet.call(vm, headers=headers) as client:
        try:
            with client.stream("POST", "/v1/completions", json=body) as answer:
                if answer.status_code != 200:
                    error = json.loads(answer.read())["error"]
                for line in answer.iter_lines() if error is None else ():
                    if not line:
                        continue
                    now_s = time.monotonic()
                    longest_s = max(longest_s, now_s - last_s)
                    last_s = now_s
                    if line == END:
                        ended = True
                    elif line.startswith("data: {"):
                        event = json.loads(line.removeprefix("data: "))
                        error = event.get("error")
                        if error is None:
                            texts.append(event["choices"][0]["text"])
                status = answer.status_code
        except httpx.HTTPError as exc:
            return Told(prompt, error={"code": "broken", "message": repr(exc)})
    elapsed_s = time.monotonic() - began_s
    return Told(prompt, status, tuple(texts), ended, error, longest_s, elapsed_s)


def many(fleet: harness.Fleet, count: int, tokens: int, vms: int = 1) -> list[Told]:
    """Ask several streamed questions at once, spread over the VMs."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        asked = [
            pool.submit(stream, fleet, f"question {index}", tokens, index % vms)
            for index in range(count)
        ]
        return [one.result() for one in asked]


def expected(prompt: str, tokens: int) -> str:
    """Give the text of the whole answer, which every engine stand-in gives to a prompt."""
    return engine_wire.output(prompt, tokens)
