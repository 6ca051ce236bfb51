"""Engine stand-in: runs the model on trio's clock, with fault switches and counters."""

import collections
import dataclasses
from collections.abc import Callable

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import engine_model, engine_wire

MAX_TRACKED_KEYS = 50_000
MAX_KEY_CHARS = 200


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the engine.

    :param crash: the engine crashes now; acts once.
    :param restart_s: seconds until a crashed engine is up again.
    :param next_version: software version from the next crash on; the same one if empty.
    :param freeze: nothing is generated, and only the switches and counters respond.
    :param silence: connections that are open now receive nothing more, new ones work; acts once.
    :param truncate_after: number of tokens after which each response ends without its end
        marker; 0 disables this.
    :param leaving: the engine reports that it is leaving but still accepts calls.
    :param refuse: calls are refused with 503.
    """

    crash: bool = False
    restart_s: float = 2.0
    next_version: str = ""
    freeze: bool = False
    silence: bool = False
    truncate_after: int = 0
    leaving: bool = False
    refuse: bool = False


@dataclasses.dataclass(slots=True)
class RunCounts:
    """Calls, completed calls and generated tokens of one request."""

    calls: int = 0
    completions: int = 0
    tokens: int = 0


class Counters(msgspec.Struct, frozen=True):
    """Totals of an engine since its process started, across crashes.

    :param by_key: counts by the body's ``user`` field, or by the start of the prompt without one.
    :param wasted_tokens: tokens of calls that a crash aborted or whose caller disconnected.
    :param cancelled_tokens: tokens of cancelled calls, kept for resuming.
    """

    calls: int
    completions: int
    generated_tokens: int
    wasted_tokens: int
    cancelled_tokens: int
    prompt_tokens: int
    cached_tokens: int
    crashes: int
    calls_while_leaving: int
    by_stream: dict[str, RunCounts]
    by_key: dict[str, RunCounts]


class DownError(Exception):
    """The engine is down, or crashed during the call."""


class RefusedError(Exception):
    """The engine refuses the call.

    :param status: the HTTP status.
    :param code: machine-readable reason.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class Engine:
    """One engine; it generates tokens only while :meth:`run` is running.

    :param on_crash: called when the engine crashes.
    :param on_silence: called when open connections stop receiving data.
    """

    def __init__(self, name: str, cfg: engine_model.Config | None = None) -> None:
        self.name = name
        self.cfg = cfg or engine_model.Config()
        self.switches = Switches()
        self.up = True
        self.on_crash: Callable[[], None] = lambda: None
        self.on_silence: Callable[[], None] = lambda: None
        self._model = engine_model.EngineModel(self.cfg)
        self._wake = trio.Event()
        self._order_lock = trio.Lock()
        self._totals: collections.Counter[str] = collections.Counter()
        self._by_stream: dict[str, RunCounts] = {}
        self._by_key: dict[str, RunCounts] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Step the model until cancelled."""
        task_status.started()
        while True:
            if self.switches.crash:
                await self._crash()
            elif self.switches.freeze or not self._model.busy:
                await self._wake.wait()
            else:
                await self._step()

    def switch(self, switches: Switches) -> None:
        """Replace the switches."""
        self.switches = msgspec.structs.replace(switches, silence=False)
        if switches.silence:
            self.on_silence()
        self._notify()

    async def wait_until_unfrozen(self) -> None:
        """Wait until the engine is not frozen."""
        while self.switches.freeze:
            await self._wake.wait()

    def submit(
        self, stream_id: str, completion: engine_wire.Completion, resume_from: int = 0
    ) -> engine_model.Sequence:
        """Queue a call.

        :raises DownError: if the engine is down.
        :raises RefusedError: if it refuses calls or has not loaded the model.
        """
        self._check_up()
        self._check_accepted(completion)
        self._totals["calls"] += 1
        self._totals["calls_while_leaving"] += self.switches.leaving
        sequence = engine_model.Sequence(
            stream_id, completion, resume_from, self._model.cfg.software_version
        )
        sequence.truncate_after = self.switches.truncate_after
        for run_counts in self._get_run_counts(sequence):
            run_counts.calls += 1
        self._model.submit(sequence, trio.current_time())
        self._notify()
        return sequence

    def abandon(self, sequence: engine_model.Sequence) -> None:
        """Stop a call whose caller disconnected; does nothing if it has ended."""
        if not sequence.ended:
            self._totals["wasted_tokens"] += len(sequence.words)
            self._model.stop(sequence, trio.current_time(), engine_model.State.BROKEN)

    def cancel(self, stream_id: str) -> engine.Cancelled:
        """Stop a call by its stream id and return what it had generated."""
        self._check_up()
        sequence = self._model.by_stream.get(stream_id)
        if sequence is None:
            return engine.Cancelled(found=False)
        self._totals["cancelled_tokens"] += len(sequence.words)
        self._model.stop(sequence, trio.current_time())
        tokens = sequence.resume_from + len(sequence.words)
        version = self.cfg.software_version if self.cfg.names_itself else ""
        return engine.Cancelled(True, tokens, "".join(sequence.words), version)

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers by which responses name the engine's start and software version."""
        if not self.cfg.names_itself:
            return ()
        version = self.cfg.software_version
        named = ((engine.SOFTWARE_VERSION_HEADER, version),) if version else ()
        return ((engine.START_HEADER, self._model.start), *named)

    def load(self) -> engine.Load:
        """Return the load report, which is ``load_lag_s`` old."""
        self._check_up()
        return self._model.load(trio.current_time())

    def state(self) -> engine.EngineState:
        """Return the loaded models, role and fencing number."""
        self._check_up()
        return self._model.state(self.switches.leaving)

    def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """Return cache events after ``after``, delayed and with gaps."""
        self._check_up()
        return self._model.cache_events(after, trio.current_time())

    async def order(self, order: engine.Order) -> engine.EngineState:
        """Apply an order; orders run one at a time, and a load takes ``order_s`` seconds.

        :raises RefusedError: if the engine checks fencing numbers and this one is stale.
        """
        self._check_up()
        model = self._model
        if not model.check_fencing(order):
            raise RefusedError(409, "stale_fencing", f"fencing number below {model.fencing}")
        async with self._order_lock:
            if order.kind is engine.OrderKind.LOAD:
                await trio.sleep(self.cfg.order_s)
            model.apply_order(order)
        if model is not self._model:
            raise DownError
        return self.state()

    def counters(self) -> Counters:
        """Return the totals."""
        total = self._totals
        return Counters(
            calls=total["calls"],
            completions=total["completions"],
            generated_tokens=total["generated_tokens"] + self._model.generated_tokens,
            wasted_tokens=total["wasted_tokens"],
            cancelled_tokens=total["cancelled_tokens"],
            prompt_tokens=total["prompt_tokens"],
            cached_tokens=total["cached_tokens"],
            crashes=total["crashes"],
            calls_while_leaving=total["calls_while_leaving"],
            by_stream=self._by_stream,
            by_key=self._by_key,
        )

    async def _step(self) -> None:
        await trio.sleep(self._model.begin_step(trio.current_time()))
        if self.switches.freeze or self.switches.crash:
            return
        stepped = self._model.running
        if not self._model.end_step(trio.current_time()):
            await self._crash()
            return
        for sequence in stepped:
            if sequence.ended:
                self._count_ended(sequence)

    def _count_ended(self, sequence: engine_model.Sequence) -> None:
        self._totals["prompt_tokens"] += sequence.prompt_tokens
        self._totals["cached_tokens"] += sequence.cached_tokens
        done = sequence.state is engine_model.State.DONE
        self._totals["completions"] += done
        for run_counts in self._get_run_counts(sequence):
            run_counts.completions += done
            run_counts.tokens += len(sequence.words)

    async def _crash(self) -> None:
        """Crash, stay down for ``restart_s`` seconds and restart with a new model."""
        self.up = False
        crashed_model = self._model
        self._totals["crashes"] += 1
        self._totals["generated_tokens"] += crashed_model.generated_tokens
        self._totals["wasted_tokens"] += sum(len(seq.words) for seq in crashed_model.running)
        self.replace_version(self.switches.next_version or self.cfg.software_version)
        self.switches = msgspec.structs.replace(self.switches, crash=False, freeze=False)
        crashed_model.break_all()
        self.on_crash()
        self._notify()
        await trio.sleep(self.switches.restart_s)
        self.up = True

    def replace_version(self, software_version: str) -> None:
        """Replace the engine by a new start of a software version; calls must have been broken."""
        self.cfg = msgspec.structs.replace(self.cfg, software_version=software_version)
        self._model = engine_model.EngineModel(self.cfg)

    def _get_run_counts(self, sequence: engine_model.Sequence) -> tuple[RunCounts, ...]:
        key = sequence.completion.user or sequence.prompt[:MAX_KEY_CHARS]
        entries = [(self._by_key, key)]
        if sequence.stream_id:
            entries.append((self._by_stream, sequence.stream_id))
        return tuple(_get_or_create_counts(table, name) for table, name in entries)

    def _check_accepted(self, completion: engine_wire.Completion) -> None:
        if self.switches.refuse:
            raise RefusedError(503, "refused", "takes no calls")
        if not self._model.serves(completion.model):
            raise RefusedError(404, "model_not_found", f"no model {completion.model}")

    def _check_up(self) -> None:
        if not self.up:
            raise DownError

    def _notify(self) -> None:
        self._wake.set()
        self._wake = trio.Event()


def _get_or_create_counts(table: dict[str, RunCounts], name: str) -> RunCounts:
    if name not in table:
        if len(table) >= MAX_TRACKED_KEYS:
            del table[next(iter(table))]
        table[name] = RunCounts()
    return table[name]
