"""What callers received over all their attempts, and what is wrong with it."""

import dataclasses
import re

import msgspec

from cornelgrade.platform.standins import edge_system, stream_engine

VERSIONS = ("v1", "v2")
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)@(v\d)-(\d+)\n\n")


class End(msgspec.Struct, frozen=True):
    """A response that an engine, or the rig on a single connection, ended between two events.

    :param after: number of the last event before it, 0 for none.
    :param framed: whether its framing came to a proper end.
    """

    request: str
    after: int
    framed: bool


class Findings(msgspec.Struct, frozen=True):
    """What a trial found.

    :param undetected: short streams without framing that may run once: an end that shows nothing.
    :param ended_framed: short streams and items whose engine ended the framing properly.
    """

    problems: list[str]
    undetected: int = 0
    ended_framed: int = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller and its response.

    :ivar after: number of the last event that the caller had before, 0 for none.
    :ivar complete: whether the response came to its proper end.
    :ivar build: name of the checkout that its gateway ran.
    """

    id: str
    gateway: str
    after: int = 0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    build: str = ""

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers and versions of its complete events, those of other requests left out."""
        return [(number, version) for number, version, own in self._parse() if own]

    @property
    def last_event(self) -> int:
        """Number of the last complete event, 0 for none."""
        return max((number for number, _ in self.events), default=0)

    @property
    def has_foreign_bytes(self) -> bool:
        """Whether it holds what belongs to no event of its own; the begin of one may be cut off."""
        rest = _EVENT.sub(b"", self.body)
        number = max(self.after, self.last_event) + 1
        events = [stream_engine.encode_event(f"{self.id}@{v}", number) for v in VERSIONS]
        is_cut_off = not self.complete and any(event.startswith(rest) for event in events)
        return not all(own for _, _, own in self._parse()) or (bool(rest) and not is_cut_off)

    def _parse(self) -> list[tuple[int, str, bool]]:
        return [
            (int(number), version.decode(), owner.decode() == self.id and number == again)
            for number, owner, version, again in _EVENT.findall(self.body)
        ]


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream over all attempts of its caller."""

    path: str
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers and versions of the events that the caller has received."""
        return [event for a in self.attempts if a.status == 200 for event in a.events]

    @property
    def complete(self) -> bool:
        """Whether the caller takes it for whole."""
        last = self.attempts[-1]
        return last.status == 200 and last.complete


def find_problems(
    streams: list[Stream], results: dict[str, tuple[str, str]], ends: list[End], total: int
) -> Findings:
    """Return what breaks the order of streams or items.

    A response that its engine ended early by a proper end of its framing is whole for all that the
    system can see. One without framing ends with its connection by the users' pages, so on a stream
    that may run once and can't be asked for again the end of that connection shows nothing.

    :param results: state and text of each item.
    :param ends: responses that were ended early.
    :param total: number of events of a whole stream.
    """
    problems = []
    excused = {True: 0, False: 0}
    for stream in streams:
        found = _find_fault(stream.events, stream.complete, total)
        if any(a.status == 200 and a.has_foreign_bytes for a in stream.attempts):
            found = "holds bytes of another response"
        end = _find_end(stream.attempts[-1].id, len(stream.events), ends)
        may_end = end is not None and (end.framed or stream.path == edge_system.ONCE_PREFIX)
        if end is not None and may_end and found.startswith("short"):
            excused[end.framed] += 1
        elif found:
            tries = ", ".join(
                f"{a.id} at {a.gateway} of {a.build} {a.status}" for a in stream.attempts
            )
            problems.append(f"{stream.path} {found}: {tries}")
    for item, (state, text) in results.items():
        found, events = _judge_item(item, state, text, total)
        end = _find_end(item, events, ends)
        if found.startswith("short") and end is not None and end.framed:
            excused[True] += 1
        elif found:
            problems.append(f"item {item} {found}")
    return Findings(problems, excused[False], excused[True])


def _find_end(request: str, events: int, ends: list[End]) -> End | None:
    """Return the early end that a response has after these events, a framed one first."""
    found = [end for end in ends if (end.request, end.after) == (request, events)]
    return max(found, key=lambda end: end.framed, default=None)


def _judge_item(item: str, state: str, text: str, total: int) -> tuple[str, int]:
    """Return what is wrong with an item, empty if nothing is, and how many events it has."""
    lines = text.split("\n") if text else []
    parsed = [re.fullmatch(r"(.*)@(v\d)-(\d+)", line) for line in lines]
    own = [(int(m[3]), m[2]) for m in parsed if m is not None and m[1] == item]
    if len(own) < len(lines):
        return "holds bytes of another response", len(own)
    if state != "completed":
        # No engine fails a run, and no time limit of an item passes within a trial.
        return f"given up after {len(own)} events", len(own)
    return _find_fault(own, state == "completed", total), len(own)


def _find_fault(events: list[tuple[int, str]], complete: bool, total: int) -> str:
    """Return what is wrong with the events of a stream or text, empty if nothing is."""
    numbers = [number for number, _ in events]
    versions = {version for _, version in events}
    if numbers != list(range(1, len(numbers) + 1)):
        return f"out of order: {numbers}"
    if len(versions) > 1:
        changed = next(n for (n, v), (_, w) in zip(events[1:], events, strict=False) if v != w)
        return f"of two versions, from event {changed} on"
    if complete and len(numbers) < total:
        return f"short: {len(numbers)} of {total} events"
    return ""
