import contextlib
from collections.abc import AsyncIterator

import msgspec
import pytest
import trio

from cornelgrade import settings, tracing
from cornelgrade.services import trace_writer

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
UNSAMPLED = PARENT[:-1] + "0"


@contextlib.asynccontextmanager
async def record_spans(folder, share=1.0, **more) -> AsyncIterator[settings.Tracing]:
    """Record spans within the block; all of them are in the file after it."""
    cfg = settings.Tracing(file=str(folder / "spans.jsonl"), share=share, **more)
    writer = trace_writer.TraceWriter(cfg)
    async with trio.open_nursery() as nursery:
        await nursery.start(lambda task_status: writer.run(task_status.started))
        yield cfg
        nursery.cancel_scope.cancel()


def read_spans(cfg: settings.Tracing) -> list[trace_writer.SpanLine]:
    with open(cfg.file, "rb") as lines:
        return [msgspec.json.decode(line, type=trace_writer.SpanLine) for line in lines]


@pytest.mark.parametrize("header", [PARENT, UNSAMPLED])
def test_callers_context_is_propagated_while_recording_is_disabled(header):
    caller = tracing.extract({"traceparent": header})
    with tracing.start_span(tracing.Hop.ADMIT, parent=caller) as span:
        assert tracing.inject(span) == {"traceparent": header}


@pytest.mark.parametrize("headers", [{}, {"traceparent": "x"}, {"traceparent": "00-0-0-0"}])
def test_missing_or_malformed_context_is_none(headers):
    assert tracing.extract(headers) is None


def test_without_a_context_nothing_is_propagated():
    with tracing.start_span(tracing.Hop.ADMIT) as span:
        assert tracing.inject(span) == {}


async def test_spans_are_written_with_their_parents(tmp_path):
    caller = tracing.extract({"traceparent": PARENT})
    start = tracing.start_span
    async with record_spans(tmp_path) as cfg:
        with start("request", caller, team="clinic") as outer, start("queue", outer) as inner:
            propagated = tracing.inject(inner)["traceparent"]
    queue_span, request_span = read_spans(cfg)
    assert {queue_span.trace_id, request_span.trace_id} == {PARENT.split("-")[1]}
    assert (request_span.parent_id, queue_span.parent_id) == (
        PARENT.split("-")[2],
        request_span.span_id,
    )
    assert propagated.split("-")[2] == queue_span.span_id
    assert request_span.attributes == {"team": "clinic"}


async def test_failed_span_records_the_exception_type(tmp_path):
    async with record_spans(tmp_path) as cfg:
        with pytest.raises(OSError, match="gone"), tracing.start_span(tracing.Hop.CONNECT):
            raise OSError("gone")
    (only,) = read_spans(cfg)
    assert only.failed == "OSError"


@pytest.mark.parametrize(
    ("share", "header", "expected"),
    [(0.0, None, 0), (0.0, PARENT, 2), (1.0, None, 2), (1.0, UNSAMPLED, 0)],
)
async def test_callers_sampling_decision_overrides_the_share(tmp_path, share, header, expected):
    caller = tracing.extract({"traceparent": header} if header else {})
    async with record_spans(tmp_path, share=share) as cfg:
        with tracing.start_span("request", caller) as outer, tracing.start_span("admit", outer):
            pass
    assert (len(read_spans(cfg)) if (tmp_path / "spans.jsonl").exists() else 0) == expected


async def test_spans_are_written_while_the_service_runs(tmp_path, monkeypatch):
    monkeypatch.setattr(trace_writer, "FLUSH_S", 0.01)
    async with record_spans(tmp_path):
        with tracing.start_span(tracing.Hop.ADMIT):
            pass
        with trio.fail_after(5):
            while not (tmp_path / "spans.jsonl").exists():
                await trio.sleep(0.01)


async def test_file_is_rotated_at_its_size_limit(tmp_path):
    for hop in ("admit", "queue", "route"):
        async with record_spans(tmp_path, max_file_bytes=1) as cfg:
            with tracing.start_span(hop):
                pass
    assert [line.name for line in read_spans(cfg)] == ["route"]
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spans.jsonl", "spans.jsonl.1"]


async def test_unwritable_file_does_not_fail_requests(tmp_path):
    (tmp_path / "spans.jsonl").mkdir()
    async with record_spans(tmp_path):
        with tracing.start_span(tracing.Hop.ADMIT):
            pass
