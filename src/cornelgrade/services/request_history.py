"""Records the history of one online request, from its admission to its end."""

import contextlib
from collections.abc import Iterator

import trio

from cornelgrade import errors, kernel
from cornelgrade.services import exchange, ports

_KIND_SUFFIXES = {True: "", False: " that runs at most once"}


def record_step(
    kern: kernel.Kernel, req: exchange.Request, step: str, sentence: str, peer: str = ""
) -> None:
    """Add a step to the request's history, if the process keeps histories."""
    if kern.has("histories"):
        histories = kern.find("histories", ports.Histories)
        histories.record(f"{req.team}/{req.request_id}", step, sentence, peer)


@contextlib.contextmanager
def track(kern: kernel.Kernel, req: exchange.Request) -> Iterator[None]:
    """Record the admission of a request and how it ended."""
    record_step(
        kern,
        req,
        "admit",
        f"Taken for {req.service} with rank {req.rank}{_KIND_SUFFIXES[req.idempotent]}.",
    )
    if req.key and kern.has("histories"):
        histories = kern.find("histories", ports.Histories)
        histories.record(f"{req.team}/{req.key}", "admit", f"Sent as request {req.request_id}.")
    try:
        yield
    except errors.Refusal as exc:
        sentence = f"Ended without a whole answer: {exc.code}, ran: {exc.ran}, {exc.message}."
        record_step(kern, req, exc.step, sentence, exc.peer)
        raise
    except (GeneratorExit, trio.Cancelled):
        record_step(kern, req, "relay", "The caller went away before the end.")
        raise
    record_step(kern, req, "relay", "Answered to the end.")
