"""Logs never hold their process up."""

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


def test_reader_that_stops_reading_never_blocks_the_writer(pipe):
    clock = Clock()
    stream = log_stream.BoundedStream(pipe[1], clock)
    begun_s = time.monotonic()
    for _ in range(20_000):
        clock.now_s += 0.01
        stream.write("x" * 200 + "\n")
    assert time.monotonic() - begun_s < 5
    assert len(stream._pending) <= log_stream.PENDING_BYTES + 100


def test_lines_that_were_dropped_are_counted(pipe):
    clock = Clock()
    stream = log_stream.BoundedStream(pipe[1], clock)
    for _ in range(log_stream.BURST_LINES + 30):
        stream.write("line\n")
    clock.now_s += 1.0
    stream.write("after\n")
    lines = os.read(pipe[0], 1 << 20).decode().splitlines()
    assert lines[-2:] == ["level=WARNING service=logs event=lines_dropped count=30", "after"]
    assert lines.count("line") == log_stream.BURST_LINES


def test_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    log_stream.BoundedStream(writer).write("line\n")
    os.close(writer)
