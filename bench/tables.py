"""Percentiles by hdrhistogram and plain tables."""

from collections.abc import Iterable

from hdrh import histogram

_MAX_US = 3_600_000_000
_DIGITS = 3


def percentiles_ms(seconds: Iterable[float], wanted: tuple[float, ...]) -> tuple[float | str, ...]:
    """Give percentiles in milliseconds of durations in seconds, dashes if there are none."""
    hist = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
    for value_s in seconds:
        hist.record_value(max(1, round(value_s * 1e6)))
    if not hist.get_total_count():
        return ("-",) * len(wanted)
    return tuple(hist.get_value_at_percentile(p) / 1000 for p in wanted)


def show(title: str, head: tuple[str, ...], rows: list[tuple[object, ...]]) -> None:
    """Print a table."""
    texts = [tuple(_text(cell) for cell in row) for row in rows]
    widths = [max(len(row[i]) for row in [head, *texts]) for i in range(len(head))]
    print(f"\n{title}")
    for row in [head, *texts]:
        print("  " + "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def _text(cell: object) -> str:
    return f"{cell:.1f}" if isinstance(cell, float) else str(cell)
