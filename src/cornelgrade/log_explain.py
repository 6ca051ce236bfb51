"""From the id of a request, item or job to its cause, by the structured logs of all processes."""

import dataclasses
import datetime
import re
from collections.abc import Iterable

# What a process learned this long before the subject's first line may still have decided it: its
# view of the others holds 1.5 s, a lapsed registration is put off by a few more.
BEFORE_S = 5.0
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_SUBJECTS = ("request", "item", "job")
# What a process says of its own state, and of its view of an upstream.
_OWN_STATE = frozenset(
    (
        "started",
        "stopped",
        "signal",
        "store_lost",
        "store_regained",
        "history_lost",
        "plan_in_force",
    )
)
_UPSTREAM_STATE = frozenset(
    ("upstream", "upstream_missing", "upstream_suspect", "upstream_trusted", "entry_unusable")
)
_CAUSES = {
    "answered": "the whole answer was passed on",
    "unavailable": "the process knew no upstream: see upstream_missing and store_lost",
    "overloaded": "no upstream had room, or each declined: see own, others and batch",
    "upstream_failed": "an upstream may have run it and gave no answer: see attempt_failed",
    "broken_off": "the answer had begun and could not be completed: see attempt_failed",
    "out_of_time": "the caller's time was over: see waited_s and attempt_failed",
    "deadline": "the caller's time was over: see waited_s and attempt_failed",
    "caller_left": "the caller closed its connection",
    "completed": "the item's result is stored",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One line of a log.

    :param at_s: when it was written, in Unix seconds.
    :param text: the line as it is.
    """

    at_s: float
    pairs: dict[str, str]
    text: str

    @property
    def vm(self) -> str:
        """The process that wrote it."""
        return self.pairs.get("vm", "")


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs say of one subject.

    :param own: lines that name it.
    :param around: what its processes learned meanwhile of themselves and of its upstreams.
    :param elsewhere: failed attempts of other requests at its upstreams.
    :param cause: what the last outcome means, empty if there is none.
    """

    own: tuple[Entry, ...]
    around: tuple[Entry, ...]
    elsewhere: int
    cause: str


def parse_line(line: str) -> Entry | None:
    """Read a line, ``None`` if it is none of a structured log."""
    pairs = {key: _unquoted(value) for key, value in _PAIR.findall(line)}
    try:
        at = datetime.datetime.fromisoformat(pairs["time"].replace("Z", "+00:00"))
    except (KeyError, ValueError):
        return None
    return Entry(at.timestamp(), pairs, line.rstrip("\n"))


def explain_subject(lines: Iterable[str], subject: str) -> Explanation:
    """Find what the logs say of a request, an item or a job."""
    entries = sorted((e for line in lines if (e := parse_line(line))), key=lambda e: e.at_s)
    own = [e for e in entries if any(e.pairs.get(key) == subject for key in _SUBJECTS)]
    if not own:
        return Explanation((), (), 0, "")
    begin_s, end_s = own[0].at_s - BEFORE_S, own[-1].at_s
    near = [e for e in entries if begin_s <= e.at_s <= end_s and e not in own]
    vms = {e.vm for e in own}
    upstreams = {e.pairs["upstream"] for e in own if e.pairs.get("upstream")}
    around = [e for e in near if e.vm in vms and _matters(e, upstreams)]
    elsewhere = sum(
        e.pairs.get("event") == "attempt_failed" and e.pairs.get("upstream") in upstreams
        for e in near
    )
    outcomes = [e.pairs["outcome"] for e in own if "outcome" in e.pairs]
    cause = _CAUSES.get(outcomes[-1], outcomes[-1]) if outcomes else ""
    return Explanation(tuple(own), tuple(around), elsewhere, cause)


def _matters(entry: Entry, upstreams: set[str]) -> bool:
    event = entry.pairs.get("event", "")
    about = event in _UPSTREAM_STATE and entry.pairs.get("upstream") in upstreams
    # Without an upstream, every one that went missing may be the reason.
    return event in _OWN_STATE or about or (event == "upstream_missing" and not upstreams)


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(lambda m: "\n" if m[1] == "n" else m[1], value[1:-1])
