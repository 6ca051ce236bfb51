"""Processor time of one span and of one history step: ``python -m bench.tracing_cost``."""

import tempfile
import time
from collections.abc import Callable

from cornelgrade import settings, tracing
from cornelgrade.services import histories, trace_writer

ROUNDS = 20_000
PARENT = {"traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}


def cost_us(act: Callable[[], None]) -> float:
    """Give the processor time of one call in microseconds."""
    begun_ns = time.process_time_ns()
    for _ in range(ROUNDS):
        act()
    return (time.process_time_ns() - begun_ns) / ROUNDS / 1000


def span() -> None:
    """Start and end one span below a caller's."""
    with tracing.start_span(tracing.Hop.ROUTE, CALLER, upstream="engine-1"):
        pass


def root() -> None:
    """Start and end one span that the sampler may drop."""
    with tracing.start_span(tracing.Hop.REQUEST, upstream="engine-1"):
        pass


CALLER = tracing.extract(PARENT)


def recorded(folder: str, share: float) -> trace_writer.TraceWriter:
    """Record spans to a file."""
    cfg = settings.Tracing(file=f"{folder}/spans.jsonl", share=share)
    writer = trace_writer.TraceWriter(cfg)
    tracing.configure(cfg, writer)
    return writer


def write_cost_us(writer: trace_writer.TraceWriter) -> float:
    """Give the processor time of writing one waiting span."""
    waiting = len(writer._waiting)
    begun_ns = time.process_time_ns()
    writer._flush()
    return (time.process_time_ns() - begun_ns) / waiting / 1000


def main() -> None:
    """Print the table."""
    history = histories.Histories()
    print(f"span, nothing recorded        {cost_us(span):7.2f} us")
    print(f"read traceparent              {cost_us(lambda: tracing.extract(PARENT)):7.2f} us")
    print(f"pass traceparent on           {cost_us(lambda: tracing.inject(CALLER)):7.2f} us")
    with tempfile.TemporaryDirectory() as folder:
        recorded(folder, share=0.0)
        print(f"span, dropped by the sampler  {cost_us(root):7.2f} us")
        writer = recorded(folder, share=1.0)
        print(f"span, recorded                {cost_us(span):7.2f} us")
        print(f"span, written in background   {write_cost_us(writer):7.2f} us")
    noted = cost_us(lambda: history.record("r1", "route", "Chose engine-1.", "engine-1"))
    print(f"history step                    {noted:7.2f} us")


if __name__ == "__main__":
    main()
