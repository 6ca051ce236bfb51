"""Request and response bodies of the engine stand-in; the prompt alone determines the output."""

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
    """Fields of a request body that the stand-in reads."""

    model: str = ""
    prompt: str = ""
    messages: tuple[Message, ...] = ()
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    user: str = ""

    @property
    def text(self) -> str:
        """The prompt or all messages as one text."""
        if not self.messages:
            return self.prompt
        return "\n".join(f"{msg.role}: {msg.content}" for msg in self.messages)


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a complete response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int


def decode_completion(body: bytes) -> Completion:
    """Decode a request body.

    :raises msgspec.MsgspecError: if the body is invalid.
    """
    return msgspec.json.decode(body, type=Completion)


def get_token(seed: int, index: int) -> str:
    """Return output token ``index`` (from 0) of the prompt with this seed."""
    number = xxhash.xxh32_intdigest(index.to_bytes(4, "little"), seed)
    return _WORDS[number % len(_WORDS)]


def hash_prompt(prompt: str, software_version: str = "") -> int:
    """Return the seed of a prompt's output, which differs between software versions."""
    return xxhash.xxh32_intdigest((software_version + prompt).encode())


def output(prompt: str, tokens: int, start: int = 0, software_version: str = "") -> str:
    """Return output tokens ``start`` to ``tokens`` of a prompt as text, for checks in tests."""
    seed = hash_prompt(prompt, software_version)
    return "".join(get_token(seed, index) for index in range(start, tokens))


def encode_event(text: str, *, chat: bool, last: bool) -> bytes:
    """Encode one token as a server-sent event; words need no escaping."""
    choice = f'"delta":{{"content":"{text}"}}' if chat else f'"text":"{text}"'
    reason = '"stop"' if last else "null"
    body = f'data: {{"choices":[{{"index":0,{choice},"finish_reason":{reason}}}]}}\n\n'
    return body.encode()


def encode_response(text: str, usage: Usage, *, chat: bool, model: str, stream_id: str) -> bytes:
    """Encode a complete response."""
    body = {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
    kind = "chat.completion" if chat else "text_completion"
    response = {
        "id": stream_id,
        "object": kind,
        "model": model,
        "choices": [{"index": 0, **body, "finish_reason": "stop"}],
        "usage": usage,
    }
    return msgspec.json.encode(response)


def encode_error(code: str, message: str) -> bytes:
    """Encode the body of an error response."""
    return msgspec.json.encode({"error": {"code": code, "message": message}})
