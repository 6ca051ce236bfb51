"""In-memory platform: an object API with versions, watches and injected faults."""

import bisect
import collections
import contextlib
import dataclasses
import secrets

import msgspec
import trio

from cornelgrade import errors
from cornelgrade.adapters import platform
from cornelgrade.standins import _token_bucket

_PEER = "platform"


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the platform.

    :param down: every call is refused.
    :param silent: calls get no response, also watches that are waiting, even after it has ended.
    :param slow_s: seconds added to each call, half before and half after its effect.
    :param lose_answers: number of next writes that take effect but whose responses are lost.
    :param vm_lag_s: age in seconds of the VM list that readers see.
    :param writes_per_s: rate limit of writes, 0 for none.
    :param reads_per_s: rate limit of reads and watches, 0 for none.
    """

    down: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    vm_lag_s: float = 0.0
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    version: int
    name: str


class _KindStore:
    """The objects of one kind and the history of their changes."""

    def __init__(self, history_limit: int) -> None:
        self.objects: dict[str, platform.StoredObject] = {}
        self.names: list[str] = []
        self.history: collections.deque[_Change] = collections.deque()
        self.history_limit = history_limit
        self.forgotten_version = 0
        self.changed = trio.Event()

    def put(self, stored: platform.StoredObject) -> None:
        if stored.name not in self.objects:
            bisect.insort(self.names, stored.name)
        self.objects[stored.name] = stored
        self.record_change(stored.version, stored.name)

    def remove(self, name: str, version: int) -> None:
        del self.objects[name]
        del self.names[bisect.bisect_left(self.names, name)]
        self.record_change(version, name)

    def record_change(self, version: int, name: str) -> None:
        self.history.append(_Change(version, name))
        if len(self.history) > self.history_limit:
            self.forgotten_version = self.history.popleft().version
        self.notify_watchers()

    def notify_watchers(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def get_changes(self, prefix: str, after: int, version: int) -> platform.Changes:
        """Return changes under ``prefix`` after version ``after``; ``version`` is the latest."""
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

    :param deadline_s: seconds after which a call without a response fails.
    :param history_limit: number of changes that are kept for the watches of each kind.
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
        self._kinds: dict[str, _KindStore] = {}
        self._vm_lists: list[tuple[float, tuple[platform.Vm, ...]]] = []
        self._silences = 0
        self.switches = Switches()
        self.switch(switches or Switches())

    def switch(self, switches: Switches) -> None:
        """Replace the switches; waiting watches see them at once."""
        self.switches = switches
        self._silences += switches.silent
        self._write_bucket = _token_bucket.TokenBucket(switches.writes_per_s)
        self._read_bucket = _token_bucket.TokenBucket(switches.reads_per_s)
        for kind in self._kinds.values():
            kind.notify_watchers()

    def forget_history(self) -> None:
        """Drop the history of changes; watches from an older version return a reset."""
        for kind in self._kinds.values():
            kind.history.clear()
            kind.forgotten_version = self.version
            kind.notify_watchers()

    def set_vms(self, vms: tuple[platform.Vm, ...]) -> None:
        """Change the VM list; readers see it ``vm_lag_s`` later."""
        self._vm_lists.append((trio.current_time(), vms))

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> platform.StoredObject | None:
        """Return an object, or ``None`` if it does not exist."""
        async with self._limit_read("get", kind):
            return self._get_kind_store(kind).objects.get(name)

    async def list(
        self, kind: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[platform.StoredObject, ...]:
        """Return objects whose names start with ``prefix`` and sort after ``after``."""
        async with self._limit_read("list", kind):
            kind_store = self._get_kind_store(kind)
            first = max(
                bisect.bisect_left(kind_store.names, prefix),
                bisect.bisect_right(kind_store.names, after),
            )
            matches = []
            for name in kind_store.names[first : first + limit]:
                if not name.startswith(prefix):
                    break
                matches.append(kind_store.objects[name])
            return tuple(matches)

    async def create(
        self, kind: str, name: str, value: bytes, nonce: str = ""
    ) -> platform.StoredObject:
        """Create an object; it must not exist yet."""
        return await self._write_object("create", kind, name, value, 0, nonce)

    async def update(
        self, kind: str, name: str, value: bytes, version: int, nonce: str = ""
    ) -> platform.StoredObject:
        """Update an object; it must still be at ``version``."""
        return await self._write_object("update", kind, name, value, version, nonce)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object, which must still be at ``version``; do nothing if it does not exist."""
        async with self._limit_call("delete", kind, self._write_bucket, write=True):
            kind_store = self._get_kind_store(kind)
            current = kind_store.objects.get(name)
            if current is None:
                return
            if current.version != version:
                raise self._make_conflict("delete", kind, name, current)
            self.version += 1
            kind_store.remove(name, self.version)
            self._lose_response_if_set("delete")

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait up to ``wait_s`` for changes under ``prefix`` after version ``after``."""
        if self.switches.silent:
            await self._lose_call("watch", wait_s + self.deadline_s)
        async with self._limit_read("watch", kind):
            kind_store = self._get_kind_store(kind)
        silences = self._silences
        with trio.move_on_after(wait_s):
            while not self._has_changes(kind_store.get_changes(prefix, after, self.version)):
                await kind_store.changed.wait()
                self._refuse_if_down("watch")
                if self._silences != silences:
                    await self._lose_call("watch", wait_s + self.deadline_s)
        return kind_store.get_changes(prefix, after, self.version)

    async def vms(self) -> tuple[platform.Vm, ...]:
        """Return the list of live and leaving VMs, ``vm_lag_s`` old."""
        async with self._limit_read("vms", ""):
            until_s = trio.current_time() - self.switches.vm_lag_s
            visible = [vms for at_s, vms in self._vm_lists if at_s <= until_s]
            return visible[-1] if visible else ()

    async def _write_object(
        self, call: str, kind: str, name: str, value: bytes, version: int, nonce: str
    ) -> platform.StoredObject:
        if len(value) > platform.MAX_VALUE_BYTES:
            raise platform.TooLargeError(
                f"{kind}/{name}: {len(value)} bytes", step=call, peer=_PEER
            )
        async with self._limit_call(call, kind, self._write_bucket, write=True):
            kind_store = self._get_kind_store(kind)
            current = kind_store.objects.get(name)
            if (current.version if current else 0) != version:
                raise self._make_conflict(call, kind, name, current)
            self.version += 1
            created = current.created if current else self.version
            stored = platform.StoredObject(
                kind, name, self.version, bytes(value), nonce or secrets.token_hex(8), created
            )
            kind_store.put(stored)
            self._lose_response_if_set(call)
            return stored

    def _limit_read(self, call: str, kind: str) -> contextlib.AbstractAsyncContextManager[None]:
        return self._limit_call(call, kind, self._read_bucket, write=False)

    @contextlib.asynccontextmanager
    async def _limit_call(
        self, call: str, kind: str, bucket: _token_bucket.TokenBucket, *, write: bool
    ):
        """Count a call, refuse or delay it, and enforce ``deadline_s``."""
        self.calls[call] += 1
        self.calls[f"{call}:{kind}"] += 1
        self._refuse_if_down(call)
        if self.switches.silent:
            await self._lose_call(call, self.deadline_s, outcome_unknown=write)
        wait_s = bucket.take_token()
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

    @staticmethod
    async def _lose_call(call: str, timeout_s: float, *, outcome_unknown: bool = False) -> None:
        """Let a call run into its timeout."""
        await trio.sleep(timeout_s)
        raise platform.UnavailableError(
            "no answer in time", step=call, outcome_unknown=outcome_unknown
        )

    def _lose_response_if_set(self, call: str) -> None:
        remaining = self.switches.lose_answers
        if remaining:
            self.switches = msgspec.structs.replace(self.switches, lose_answers=remaining - 1)
            self.calls["lost_answers"] += 1
            raise platform.UnavailableError("answer lost", step=call, outcome_unknown=True)

    def _get_kind_store(self, kind: str) -> _KindStore:
        if kind not in self._kinds:
            self._kinds[kind] = _KindStore(self._history_limit)
        return self._kinds[kind]

    @staticmethod
    def _has_changes(changes: platform.Changes) -> bool:
        return bool(changes.reset or changes.items or changes.deleted)

    @staticmethod
    def _make_conflict(
        call: str, kind: str, name: str, current: platform.StoredObject | None
    ) -> errors.CornelgradeError:
        return platform.ConflictError(
            f"{kind}/{name} is at another version", step=call, current=current
        )
