"""Model of an inference engine: continuous batching, prefix cache, queue and load report.

It has no clock and no I/O: the driver begins a step, waits and ends the step.
"""

import collections
import enum
import secrets
from collections.abc import Callable

import msgspec

from cornelgrade.adapters import engine
from cornelgrade.standins import _prefix_cache, engine_wire

CRASH_MARKER = "crash-this-engine"


class Config(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Speed and capacity of an engine; times are in seconds.

    :param slots: sequences in one batch.
    :param step_s: base time of a step.
    :param sequence_step_s: added to a step for each running sequence.
    :param prefill_token_s: added to a step for each prompt token that is not cached.
    :param cache_tokens: capacity of the prefix cache.
    :param load_lag_s: age of the load report and of cache events.
    :param cache_event_gap: drop every ``cache_event_gap``-th cache event; 0 drops none.
    :param order_s: time that an order to load takes.
    :param checks_fencing: whether orders with a stale fencing number are refused.
    :param models: models loaded at the start; without any, the engine serves every name.
    :param software_version: what two versions generate for a prompt doesn't fit together.
    :param names_itself: whether responses name the engine's start and version.
    :param unframed: whether responses have neither a length nor chunks.
    """

    slots: int = 8
    step_s: float = 0.015
    sequence_step_s: float = 0.0005
    prefill_token_s: float = 0.0001
    cache_tokens: int = 16_384
    load_lag_s: float = 1.0
    cache_event_gap: int = 10
    order_s: float = 2.0
    checks_fencing: bool = False
    role: str = "mixed"
    models: tuple[engine.Loaded, ...] = ()
    software_version: str = ""
    names_itself: bool = True
    unframed: bool = False


class State(enum.Enum):
    """State of a sequence."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    BROKEN = "broken"


ENDED_STATES = frozenset({State.DONE, State.TRUNCATED, State.CANCELLED, State.BROKEN})


class Sequence:
    """One request in the engine; ``words`` are the tokens generated in this call."""

    __slots__ = (
        "cached_tokens", "completion", "end", "prompt", "prompt_tokens", "resume_from", "seed",
        "state", "stream_id", "truncate_after", "wake", "words",
    )  # fmt: skip

    def __init__(
        self,
        stream_id: str,
        completion: engine_wire.Completion,
        resume_from: int,
        software_version: str = "",
    ) -> None:
        self.stream_id = stream_id
        self.completion = completion
        self.resume_from = resume_from
        self.prompt = completion.text
        self.seed = engine_wire.hash_prompt(self.prompt, software_version)
        self.end = max(completion.max_tokens - resume_from, 0)
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.truncate_after = 0
        self.words: list[str] = []
        self.state = State.WAITING
        self.wake: Callable[[], None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the sequence generates no more tokens."""
        return self.state in ENDED_STATES

    def set_state(self, state: State) -> None:
        """Change the state and wake the reader."""
        self.state = state
        self.notify()

    def notify(self) -> None:
        """Wake the reader if it is waiting."""
        if self.wake is not None:
            self.wake()

    def generate_token(self) -> None:
        """Append the next token; the last one ends the sequence."""
        count = len(self.words)
        if count < self.end:
            self.words.append(engine_wire.get_token(self.seed, self.resume_from + count))
            count += 1
        if count >= self.end:
            self.state = State.DONE
        elif self.truncate_after and count >= self.truncate_after:
            self.state = State.TRUNCATED
        self.notify()


class EngineModel:
    """The state of one engine process."""

    def __init__(self, cfg: Config) -> None:
        self.cfg = cfg
        self.start = secrets.token_hex(4)
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.by_stream: dict[str, Sequence] = {}
        self.models = {loaded.model: loaded for loaded in cfg.models}
        self.role = cfg.role
        self.fencing = 0
        self.generated_tokens = 0
        self._crash_pending = False
        self._cache = _prefix_cache.PrefixCache(cfg.cache_tokens, gap_every=cfg.cache_event_gap)
        self._samples: collections.deque[tuple[float, int, int]] = collections.deque()

    @property
    def busy(self) -> bool:
        """Whether any sequence is running or waiting."""
        return bool(self.running or self.waiting)

    def serves(self, name: str) -> bool:
        """Whether a request's ``model`` (``MODEL`` or ``MODEL:ADAPTER``) is loaded."""
        if not self.models:
            return True
        model, _, adapter = name.partition(":")
        loaded = self.models.get(model)
        return loaded is not None and (not adapter or adapter in loaded.adapters)

    def submit(self, sequence: Sequence, now_s: float) -> None:
        """Append a request to the queue."""
        self.waiting.append(sequence)
        if sequence.stream_id:
            self.by_stream[sequence.stream_id] = sequence
        self._record_load(now_s)

    def begin_step(self, now_s: float) -> float:
        """Admit waiting requests to free slots and return the step's duration in seconds."""
        uncached = 0
        while self.waiting and len(self.running) < self.cfg.slots:
            uncached += self._admit(self.waiting.popleft(), now_s)
        self._record_load(now_s)
        return (
            self.cfg.step_s
            + len(self.running) * self.cfg.sequence_step_s
            + uncached * self.cfg.prefill_token_s
        )

    def end_step(self, now_s: float) -> bool:
        """Generate a token for each running sequence; return false if the engine crashed."""
        if self._crash_pending:
            return False
        for sequence in self.running:
            before = len(sequence.words)
            sequence.generate_token()
            self.generated_tokens += len(sequence.words) - before
        if any(sequence.ended for sequence in self.running):
            self._remove_streams([sequence for sequence in self.running if sequence.ended])
            self.running = [sequence for sequence in self.running if not sequence.ended]
        self._record_load(now_s)
        return True

    def stop(self, sequence: Sequence, now_s: float, state: State = State.CANCELLED) -> None:
        """Remove a sequence from the queue or the batch."""
        if sequence.ended:
            return
        if sequence.state is State.RUNNING:
            self.running.remove(sequence)
        else:
            self.waiting.remove(sequence)
        self._remove_streams([sequence])
        sequence.set_state(state)
        self._record_load(now_s)

    def break_all(self) -> None:
        """End every sequence as broken."""
        for sequence in [*self.running, *self.waiting]:
            sequence.set_state(State.BROKEN)

    def load(self, now_s: float) -> engine.Load:
        """Return the load as it was ``load_lag_s`` ago."""
        self._drop_old_samples(now_s)
        until_s = now_s - self.cfg.load_lag_s
        at_s, running, waiting = self._samples[0] if self._samples else (now_s, 0, 0)
        if at_s > until_s:
            running = waiting = 0
        return engine.Load(running, waiting, self.cfg.slots, age_s=self.cfg.load_lag_s)

    def cache_events(self, after: int, now_s: float) -> tuple[engine.CacheEvent, ...]:
        """Return cache events after ``after``, delayed and with gaps."""
        return self._cache.get_events(after, now_s - self.cfg.load_lag_s)

    def state(self, leaving: bool) -> engine.EngineState:
        """Return the loaded models, role and fencing number."""
        return engine.EngineState(
            tuple(self.models.values()), self.role, self.fencing, leaving=leaving
        )

    def check_fencing(self, order: engine.Order) -> bool:
        """Store an order's fencing number; return false if it is stale and checked."""
        if self.cfg.checks_fencing and order.fencing < self.fencing:
            return False
        self.fencing = order.fencing
        return True

    def apply_order(self, order: engine.Order) -> None:
        """Apply an order that passed :meth:`check_fencing`."""
        handlers = {
            engine.OrderKind.LOAD: self._load_model,
            engine.OrderKind.UNLOAD: self._unload_model,
            engine.OrderKind.ROLE: self._set_role,
        }
        handlers[order.kind](order)

    def _load_model(self, order: engine.Order) -> None:
        loaded = self.models.get(order.model)
        adapters = loaded.adapters if loaded else ()
        if order.adapter and order.adapter not in adapters:
            adapters = (*adapters, order.adapter)
        version = order.version or (loaded.version if loaded else 1)
        self.models[order.model] = engine.Loaded(order.model, version, adapters)

    def _unload_model(self, order: engine.Order) -> None:
        loaded = self.models.get(order.model)
        if loaded is None:
            return
        if not order.adapter:
            del self.models[order.model]
            return
        remaining = tuple(name for name in loaded.adapters if name != order.adapter)
        self.models[order.model] = engine.Loaded(order.model, loaded.version, remaining)

    def _set_role(self, order: engine.Order) -> None:
        self.role = order.role

    def _admit(self, sequence: Sequence, now_s: float) -> int:
        """Add a sequence to the batch and return the number of tokens to prefill."""
        tokens = sequence.prompt.split()
        sequence.prompt_tokens = len(tokens)
        sequence.cached_tokens = self._cache.store_prompt(tokens, now_s)
        sequence.state = State.RUNNING
        self.running.append(sequence)
        self._crash_pending = self._crash_pending or CRASH_MARKER in sequence.prompt
        return sequence.prompt_tokens + sequence.resume_from - sequence.cached_tokens

    def _remove_streams(self, sequences: list[Sequence]) -> None:
        for sequence in sequences:
            if self.by_stream.get(sequence.stream_id) is sequence:
                del self.by_stream[sequence.stream_id]

    def _record_load(self, now_s: float) -> None:
        sample = (now_s, len(self.running), len(self.waiting))
        if self._samples and self._samples[-1][0] == now_s:
            self._samples[-1] = sample
        else:
            self._samples.append(sample)
            self._drop_old_samples(now_s)

    def _drop_old_samples(self, now_s: float) -> None:
        until_s = now_s - self.cfg.load_lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= until_s:
            self._samples.popleft()
