"""What callers of the product's own interface received, and what is wrong with it."""

import dataclasses
import json

import msgspec

from cornelgrade.adapters import engine as engine_port
from cornelgrade.standins import engine_wire

VERSIONS = ("v1", "v2")
_ERROR = b"event: error\n"
_COMMENT = b":"


class _Choice(msgspec.Struct, frozen=True):
    text: str


class _Completion(msgspec.Struct, frozen=True):
    choices: tuple[_Choice]


@dataclasses.dataclass(slots=True)
class Answer:
    """What one attempt of a caller brought.

    :ivar complete: whether the response came to its proper end.
    """

    prompt: str
    tokens: int
    stream: bool
    sent_to: str = ""
    status: int = 0
    body: bytes = b""
    complete: bool = False

    @property
    def whole(self) -> bool:
        """Whether the caller takes it for a whole answer."""
        ended = not self.stream or self.body.endswith(engine_port.END_MARKER)
        return self.status == 200 and self.complete and ended


def find_fault(answer: Answer) -> str:
    """Return what is wrong with an answer, empty if nothing is."""
    if answer.status != 200:
        return ""
    try:
        words = _read_events(answer) if answer.stream else _read_document(answer)
    except (ValueError, msgspec.DecodeError) as exc:
        return f"holds bytes of another response: {exc}"
    return find_text_fault(answer.prompt, answer.tokens, "".join(words), whole=answer.whole)


def find_text_fault(prompt: str, tokens: int, text: str, *, whole: bool) -> str:
    """Return what is wrong with the text for a prompt, empty if nothing is."""
    expected = {v: engine_wire.output(prompt, tokens, software_version=v) for v in VERSIONS}
    if text in expected.values():
        return ""
    if not any(full.startswith(text) for full in expected.values()):
        return f"out of order or of two versions: {_describe(text, expected)}"
    return f"short: {_describe(text, expected)}" if whole else ""


def _read_document(answer: Answer) -> list[str]:
    """Return the text of a whole document; one that broke off visibly tells nothing."""
    if not answer.whole:
        return []
    return [msgspec.json.decode(answer.body, type=_Completion).choices[0].text]


def _read_events(answer: Answer) -> list[str]:
    body, marker, behind = answer.body.partition(engine_port.END_MARKER)
    if behind:
        raise ValueError(f"{behind[:40]!r} behind the end")
    *events, rest = body.split(engine_port.EVENT_END)
    if marker and rest:
        raise ValueError(f"{rest[:40]!r} before the end")
    own = [event for event in events if not event.startswith((_ERROR, _COMMENT))]
    if any(not event.startswith(b"data: ") for event in own):
        raise ValueError(f"no event: {own!r:.80}")
    lines = [msgspec.json.decode(event[6:], type=_Completion) for event in own]
    return [line.choices[0].text for line in lines]


def _describe(text: str, expected: dict[str, str]) -> str:
    """Name the version of each word, to show where a text changed."""
    columns = {v: full.split() for v, full in expected.items()}
    found = []
    for number, word in enumerate(text.split()):
        own = [v for v, words in columns.items() if words[number : number + 1] == [word]]
        found.append("/".join(own) or "?")
    return json.dumps(found)
