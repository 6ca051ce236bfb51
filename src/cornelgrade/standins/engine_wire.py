"""Bodies that the engine stand-in reads and writes; its output follows from the prompt alone."""

import msgspec
import xxhash

_SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "wo")
_WORDS = tuple(f" {a}{b}{c}" for a in _SYLLABLES for b in _SYLLABLES for c in _SYLLABLES)
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
DEFAULT_MAX_TOKENS = 16


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str = "user"
    content: str = ""


class Completion(msgspec.Struct, frozen=True):
    """The fields of a request body that the stand-in looks at."""

    model: str = ""
    prompt: str = ""
    messages: tuple[Message, ...] = ()
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    user: str = ""

    @property
    def text(self) -> str:
        """The whole prompt as one text."""
        if not self.messages:
            return self.prompt
        return "\n".join(f"{msg.role}: {msg.content}" for msg in self.messages)


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a whole answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int


def decode(body: bytes) -> Completion:
    """Read a request body.

    :raises msgspec.MsgspecError: if it is not one.
    """
    return msgspec.json.decode(body, type=Completion)


def token(seed: int, index: int) -> str:
    """Give output token ``index`` (from 0) of the prompt with this seed."""
    number = xxhash.xxh32_intdigest(index.to_bytes(4, "little"), seed)
    return _WORDS[number % len(_WORDS)]


def seed_of(prompt: str) -> int:
    """Give the seed of a prompt's output."""
    return xxhash.xxh32_intdigest(prompt.encode())


def output(prompt: str, tokens: int, start: int = 0) -> str:
    """Give the text of output tokens ``start`` to ``tokens`` of a prompt; tests compare with it."""
    seed = seed_of(prompt)
    return "".join(token(seed, index) for index in range(start, tokens))


def event(text: str, *, chat: bool, last: bool) -> bytes:
    """Write one token as a server-sent event; words need no escaping."""
    choice = f'"delta":{{"content":"{text}"}}' if chat else f'"text":"{text}"'
    reason = '"stop"' if last else "null"
    body = f'data: {{"choices":[{{"index":0,{choice},"finish_reason":{reason}}}]}}\n\n'
    return body.encode()


def whole(text: str, usage: Usage, *, chat: bool, model: str, stream_id: str) -> bytes:
    """Write a whole answer."""
    body = {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
    kind = "chat.completion" if chat else "text_completion"
    answer = {
        "id": stream_id,
        "object": kind,
        "model": model,
        "choices": [{"index": 0, **body, "finish_reason": "stop"}],
        "usage": usage,
    }
    return msgspec.json.encode(answer)


def error(code: str, message: str) -> bytes:
    """Write the body of a refusal."""
    return msgspec.json.encode({"error": {"code": code, "message": message}})
