"""Explain the outcome of a request, item or job from the structured logs of all processes."""

import dataclasses
import datetime
import re
from collections.abc import Iterable

# Events this long before the subject's first line may still have affected it: a process uses its
# view of the others for 1.5 s, and a lapsed registration takes effect a few seconds later.
CONTEXT_BEFORE_S = 5.0
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")
_SUBJECT_KEYS = ("request", "item", "job")
# By which the quarantine identifies requests and what they share.
_TRAIT_KEYS = ("fingerprint", "fingerprints", "parts")
# Events about the state of the logging process, and about its view of an upstream.
_PROCESS_EVENTS = frozenset(
    (
        "started",
        "stopped",
        "signal",
        "store_lost",
        "store_regained",
        "history_lost",
        "plan_in_force",
        "versions_mixed",
    )
)
# Events that take an upstream out of use; any of them may have left a request without one.
_LOSS_EVENTS = frozenset(("upstream_missing", "upstream_says_leaving", "upstream_told_leaving"))
_UPSTREAM_EVENTS = _LOSS_EVENTS | {
    "upstream",
    "upstream_checked",
    "upstream_suspect",
    "upstream_trusted",
    "entry_unusable",
}
_CAUSE_BY_OUTCOME = {
    "answered": "the complete response was sent to the caller",
    "unavailable": (
        "the process knew no upstream that could run it: see upstream_missing, store_lost, "
        "upstream_says_leaving and, for a stream that was taken up, stream_origin"
    ),
    "overloaded": "every upstream was full or declined: see own, others and batch",
    "upstream_failed": "an upstream may have run it but did not respond: see attempt_failed",
    "broken_off": "the response began but could not be completed: see attempt_failed",
    "out_of_time": "the caller's deadline passed: see waited_s and attempt_failed",
    "deadline": "the caller's deadline passed: see waited_s and attempt_failed",
    "caller_left": "the caller closed its connection",
    "quarantined": "upstreams crashed while it was in flight: see upstream_crashed",
    "completed": "the item's result is stored",
    "unauthorized": (
        "it carried no key, several, or one that no team of the plan in force holds: see why, plan "
        "and, if the key was added or taken away, plan_in_force"
    ),
    "rate_limited": "its team is over its rate limit at all VMs together: see team and why",
    "not_found": "no route of the plan in force matches its host and path: see host, path and plan",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One parsed log line.

    :param at_s: Unix time in seconds at which it was written.
    :param text: the unparsed line.
    """

    at_s: float
    pairs: dict[str, str]
    text: str

    @property
    def vm(self) -> str:
        """The VM that wrote the line."""
        return self.pairs.get("vm", "")


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs show about one subject.

    :param own: lines that name the subject.
    :param around: state changes of its processes and upstreams at about the same time, and lines
        about earlier attempts of the same request.
    :param elsewhere: number of failed attempts of other requests at its upstreams.
    :param cause: what its last outcome means, empty if it has none.
    """

    own: tuple[Entry, ...]
    around: tuple[Entry, ...]
    elsewhere: int
    cause: str


def parse_line(line: str) -> Entry | None:
    """Parse a line; return ``None`` if it is not structured."""
    pairs = {key: _unquote(value) for key, value in _PAIR.findall(line)}
    try:
        at = datetime.datetime.fromisoformat(pairs["time"].replace("Z", "+00:00"))
    except (KeyError, ValueError):
        return None
    return Entry(at.timestamp(), pairs, line.rstrip("\n"))


def explain_subject(lines: Iterable[str], subject: str) -> Explanation:
    """Collect the lines that explain the outcome of a request, item or job."""
    entries = sorted((e for line in lines if (e := parse_line(line))), key=lambda e: e.at_s)
    own = [e for e in entries if any(e.pairs.get(key) == subject for key in _SUBJECT_KEYS)]
    if not own:
        return Explanation((), (), 0, "")
    begin_s, end_s = own[0].at_s - CONTEXT_BEFORE_S, own[-1].at_s
    nearby = [e for e in entries if begin_s <= e.at_s <= end_s and e not in own]
    vms = {e.vm for e in own}
    upstreams = {e.pairs["upstream"] for e in own if e.pairs.get("upstream")}
    traits = {trait for e in own for trait in _list_traits(e)}
    before = [e for e in entries if e.at_s <= end_s and e not in own]
    taken_up = _find_taken_up(before, own)
    around = [
        e
        for e in before
        if not traits.isdisjoint(_list_traits(e))
        or e.pairs.get("request") in taken_up
        or (e.at_s >= begin_s and e.vm in vms and _is_relevant(e, upstreams))
    ]
    elsewhere = sum(
        e.pairs.get("event") == "attempt_failed" and e.pairs.get("upstream") in upstreams
        for e in nearby
    )
    outcomes = [e.pairs["outcome"] for e in own if "outcome" in e.pairs]
    cause = _CAUSE_BY_OUTCOME.get(outcomes[-1], outcomes[-1]) if outcomes else ""
    return Explanation(tuple(own), tuple(around), elsewhere, cause)


def _list_traits(entry: Entry) -> set[str]:
    """Return the texts and parts of prompts that a line names."""
    return {trait for key in _TRAIT_KEYS for trait in entry.pairs.get(key, "").split(",")} - {""}


def _find_taken_up(entries: list[Entry], own: list[Entry]) -> set[str]:
    """Return the ids of the earlier attempts whose stream the subject goes on with."""
    resumed_by_id = {
        e.pairs["request"]: e.pairs["resumes"]
        for e in entries
        if e.pairs.get("request") and e.pairs.get("resumes")
    }
    pending = {e.pairs["resumes"] for e in own if e.pairs.get("resumes")}
    found: set[str] = set()
    while pending:
        found |= pending
        pending = {resumed_by_id[id_] for id_ in pending if id_ in resumed_by_id} - found
    return found


def _is_relevant(entry: Entry, upstreams: set[str]) -> bool:
    event = entry.pairs.get("event", "")
    concerns_upstream = event in _UPSTREAM_EVENTS and entry.pairs.get("upstream") in upstreams
    may_have_left_none = event in _LOSS_EVENTS and not upstreams
    return event in _PROCESS_EVENTS or concerns_upstream or may_have_left_none


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(lambda m: "\n" if m[1] == "n" else m[1], value[1:-1])
