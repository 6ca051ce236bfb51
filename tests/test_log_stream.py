"""Logging never blocks the process, whatever the reader does."""

import os
import time

import pytest

from cornelgrade import log_stream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


class Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def test_stalled_reader_never_blocks_the_writer(pipe):
    clock = Clock()
    stream = log_stream.BoundedStream(pipe[1], clock)
    started_s = time.monotonic()
    for _ in range(20_000):
        clock.now_s += 0.01
        stream.write("x" * 200 + "\n")
    assert time.monotonic() - started_s < 5
    assert len(stream._pending) <= log_stream.MAX_PENDING_BYTES + 100


def test_dropped_lines_are_counted(pipe):
    clock = Clock()
    stream = log_stream.BoundedStream(pipe[1], clock)
    for _ in range(log_stream.BURST_LINES + 30):
        stream.write("line\n")
    clock.now_s += 1.0
    stream.write("after\n")
    lines = os.read(pipe[0], 1 << 20).decode().splitlines()
    assert lines[-2:] == ["level=WARNING service=logs event=lines_dropped count=30", "after"]
    assert lines.count("line") == log_stream.BURST_LINES


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    log_stream.BoundedStream(writer).write("line\n")
    os.close(writer)
