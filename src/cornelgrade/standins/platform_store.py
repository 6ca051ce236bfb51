"""The platform stand-in's model: an in-memory object API with versions, watches and faults."""

import bisect
import collections
import contextlib
import dataclasses
import secrets

import msgspec
import trio

from cornelgrade import errors
from cornelgrade.adapters import platform
from cornelgrade.standins import _buckets

_PEER = "platform"


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the platform misbehaves.

    :param down: every call is refused.
    :param slow_s: seconds added to each call, half before and half after its effect.
    :param lose_answers: the next so many writes take effect, but their answers are lost.
    :param vm_lag_s: age in seconds of the VM list that is shown.
    :param writes_per_s: rate limit of writes, 0 for none.
    :param reads_per_s: rate limit of reads and watches, 0 for none.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    vm_lag_s: float = 0.0
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    version: int
    name: str


class _Kind:
    """The objects of one kind and the history of their changes."""

    def __init__(self, history_limit: int) -> None:
        self.objects: dict[str, platform.Stored] = {}
        self.names: list[str] = []
        self.history: collections.deque[_Change] = collections.deque()
        self.history_limit = history_limit
        self.forgotten_version = 0
        self.changed = trio.Event()

    def put(self, stored: platform.Stored) -> None:
        if stored.name not in self.objects:
            bisect.insort(self.names, stored.name)
        self.objects[stored.name] = stored
        self.note(stored.version, stored.name)

    def remove(self, name: str, version: int) -> None:
        del self.objects[name]
        del self.names[bisect.bisect_left(self.names, name)]
        self.note(version, name)

    def note(self, version: int, name: str) -> None:
        self.history.append(_Change(version, name))
        if len(self.history) > self.history_limit:
            self.forgotten_version = self.history.popleft().version
        self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def changes(self, prefix: str, after: int, version: int) -> platform.Changes:
        """Give what happened under ``prefix`` since ``after``; ``version`` is the latest."""
        if after < self.forgotten_version or after > version:
            return platform.Changes(version=version, reset=True)
        newer: dict[str, None] = {}
        for change in reversed(self.history):
            if change.version <= after:
                break
            if change.name.startswith(prefix):
                newer.setdefault(change.name)
        names = list(reversed(newer))
        items = tuple(self.objects[name] for name in names if name in self.objects)
        deleted = tuple(name for name in names if name not in self.objects)
        return platform.Changes(version=version, items=items, deleted=deleted)


class MemoryPlatform:
    """Implements :class:`cornelgrade.adapters.platform.Platform` in memory.

    :param deadline_s: longest time that a call takes before it counts as unanswered.
    :param history_limit: changes of each kind that a watch can look back on.
    """

    def __init__(
        self,
        switches: Switches | None = None,
        *,
        deadline_s: float = 2.0,
        history_limit: int = 10_000,
    ) -> None:
        self.version = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.deadline_s = deadline_s
        self._history_limit = history_limit
        self._kinds: dict[str, _Kind] = {}
        self._vm_lists: list[tuple[float, tuple[platform.Vm, ...]]] = []
        self.switches = Switches()
        self.switch(switches or Switches())

    def switch(self, switches: Switches) -> None:
        """Put new switches in force; waiting watches see them at once."""
        self.switches = switches
        self._writes = _buckets.TokenBucket(switches.writes_per_s)
        self._reads = _buckets.TokenBucket(switches.reads_per_s)
        for kind in self._kinds.values():
            kind.wake()

    def forget_history(self) -> None:
        """Drop all that watches can look back on; those that wait now are told so."""
        for kind in self._kinds.values():
            kind.history.clear()
            kind.forgotten_version = self.version
            kind.wake()

    def set_vms(self, vms: tuple[platform.Vm, ...]) -> None:
        """Change the VM list; readers see it ``vm_lag_s`` later."""
        self._vm_lists.append((trio.current_time(), vms))

    async def get(self, kind: str, name: str) -> platform.Stored | None:
        """Read one object, ``None`` if there is none."""
        async with self._read("get", kind):
            return self._kind(kind).objects.get(name)

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[platform.Stored, ...]:
        """Read objects whose names start with ``prefix`` and sort behind ``after``."""
        async with self._read("list", kind):
            held = self._kind(kind)
            first = max(
                bisect.bisect_left(held.names, prefix), bisect.bisect_right(held.names, after)
            )
            found = []
            for name in held.names[first : first + limit]:
                if not name.startswith(prefix):
                    break
                found.append(held.objects[name])
            return tuple(found)

    async def create(self, kind: str, name: str, value: bytes, nonce: str = "") -> platform.Stored:
        """Write an object that must not be there yet."""
        return await self._write("create", kind, name, value, 0, nonce)

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> platform.Stored:
        """Write an object that must still be at ``version``."""
        return await self._write("update", kind, name, value, version, nonce)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object that must still be at ``version``; one already gone is no error."""
        async with self._call("delete", kind, self._writes, write=True):
            held = self._kind(kind)
            current = held.objects.get(name)
            if current is None:
                return
            if current.version != version:
                raise self._conflict("delete", kind, name, current)
            self.version += 1
            held.remove(name, self.version)
            self._maybe_lose("delete")

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait until something under ``prefix`` is newer than ``after`` or ``wait_s`` is over."""
        async with self._read("watch", kind):
            held = self._kind(kind)
        with trio.move_on_after(wait_s):
            while not self._found(held.changes(prefix, after, self.version)):
                await held.changed.wait()
                self._refuse_if_down("watch")
        return held.changes(prefix, after, self.version)

    async def vms(self) -> tuple[platform.Vm, ...]:
        """Read the lagging list of live and leaving VMs."""
        async with self._read("vms", ""):
            until_s = trio.current_time() - self.switches.vm_lag_s
            old_enough = [vms for at_s, vms in self._vm_lists if at_s <= until_s]
            return old_enough[-1] if old_enough else ()

    async def _write(
        self, call: str, kind: str, name: str, value: bytes, version: int, nonce: str
    ) -> platform.Stored:
        if len(value) > platform.MAX_VALUE_BYTES:
            raise platform.TooLargeError(
                f"{kind}/{name}: {len(value)} bytes", step=call, peer=_PEER
            )
        async with self._call(call, kind, self._writes, write=True):
            held = self._kind(kind)
            current = held.objects.get(name)
            if (current.version if current else 0) != version:
                raise self._conflict(call, kind, name, current)
            self.version += 1
            created = current.created if current else self.version
            stored = platform.Stored(
                kind, name, self.version, bytes(value), nonce or secrets.token_hex(8), created
            )
            held.put(stored)
            self._maybe_lose(call)
            return stored

    def _read(self, call: str, kind: str) -> contextlib.AbstractAsyncContextManager[None]:
        return self._call(call, kind, self._reads, write=False)

    @contextlib.asynccontextmanager
    async def _call(self, call: str, kind: str, bucket: _buckets.TokenBucket, *, write: bool):
        """Count a call, refuse it or slow it down, and bound its time."""
        self.calls[call] += 1
        self.calls[f"{call}:{kind}"] += 1
        self._refuse_if_down(call)
        wait_s = bucket.take()
        if wait_s:
            self.calls["rate_limited"] += 1
            raise platform.UnavailableError("rate limit", step=call, retry_after_s=wait_s)
        half_s = self.switches.slow_s / 2
        with trio.move_on_after(self.deadline_s) as scope:
            await trio.sleep(half_s)
            yield
            await trio.sleep(half_s)
        if scope.cancelled_caught:
            raise platform.UnavailableError("no answer in time", step=call, outcome_unknown=write)

    def _refuse_if_down(self, call: str) -> None:
        if self.switches.down:
            raise platform.UnavailableError("down", step=call)

    def _maybe_lose(self, call: str) -> None:
        left = self.switches.lose_answers
        if left:
            self.switches = msgspec.structs.replace(self.switches, lose_answers=left - 1)
            self.calls["lost_answers"] += 1
            raise platform.UnavailableError("answer lost", step=call, outcome_unknown=True)

    def _kind(self, kind: str) -> _Kind:
        if kind not in self._kinds:
            self._kinds[kind] = _Kind(self._history_limit)
        return self._kinds[kind]

    @staticmethod
    def _found(changes: platform.Changes) -> bool:
        return bool(changes.reset or changes.items or changes.deleted)

    @staticmethod
    def _conflict(
        call: str, kind: str, name: str, current: platform.Stored | None
    ) -> errors.CornelgradeError:
        return platform.ConflictError(
            f"{kind}/{name} is at another version", step=call, current=current
        )
