"""Takes, renews and gives back one lease object on the platform."""

import contextlib
import secrets
from collections.abc import Callable, Iterator

import msgspec
import trio

from cornelgrade import errors, logs
from cornelgrade.adapters import platform
from cornelgrade.policy import lease

KIND = "lease"
LEASE_S = 10.0
_POLL_PART = 1 / 3
_RETRY_S = 0.5
_RELEASE_S = 2.0


class NotHeldError(errors.CornelgradeError):
    """The lease is not held, or ends too soon to act on."""


class Lease:
    """One process's side of a lease.

    :param name: the platform object's name.
    :param holder: the VM's name; the session is added here.
    :param eligible: whether this VM should try to take it; a holder keeps it in any case.
    :param longest_order_s: gives how long an order of a past holder may still be on its way; 0
        only while every receiver checks the fencing number.
    """

    def __init__(
        self,
        store: platform.Platform,
        name: str,
        holder: str,
        *,
        eligible: Callable[[], bool] = lambda: True,
        lease_s: float = LEASE_S,
        longest_order_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._name = name
        self._holder = f"{holder}/{secrets.token_hex(4)}"
        self._eligible = eligible
        self._lease_s = lease_s
        self._longest_order_s = longest_order_s
        self._log = logs.Logger("lease")
        self._seen: lease.Seen | None = None
        self._held: lease.Held | None = None
        self._orders = 0
        self._unsettled = False
        self._changed = trio.Event()

    def held(self) -> lease.Held | None:
        """Give the lease if it may be acted on now."""
        if self._held is not None and self._held.valid(trio.current_time()):
            return self._held
        return None

    def seen(self) -> lease.Seen | None:
        """Give the record as it was last read."""
        return self._seen

    async def wait_until_held(self) -> lease.Held:
        """Wait until the lease is held."""
        while True:
            found = self.held()
            if found is not None:
                return found
            await self._changed.wait()

    @contextlib.contextmanager
    def guard_order(self, epoch: int) -> Iterator[None]:
        """Check again right before an order that carries ``epoch``, and cover its way.

        An order that ends by an exception may still be on its way; the lease is then not given
        back but left to run out.

        :raises NotHeldError: if the lease is no longer held in that epoch.
        """
        found = self.held()
        if found is None or found.record.epoch != epoch:
            raise NotHeldError(f"epoch {epoch} is over", step="check lease", peer=self._name)
        self._orders += 1
        settled = False
        try:
            yield
            settled = True
        finally:
            self._orders -= 1
            self._unsettled = self._unsettled or not settled

    async def run(self) -> None:
        """Take and renew the lease until cancelled, then give it back."""
        try:
            while True:
                try:
                    wait_s = await self._step()
                except platform.UnavailableError as exc:
                    wait_s = exc.retry_after_s or _RETRY_S
                self._drop_if_over()
                await trio.sleep(wait_s)
        finally:
            with trio.move_on_after(_RELEASE_S, shield=True):
                await self._release()

    async def _step(self) -> float:
        if self._held is not None:
            return await self._keep(self._held)
        if not self._eligible():
            return self._lease_s * _POLL_PART
        stored = await self._store.get(KIND, self._name)
        now = trio.current_time()
        self._seen = lease.look(self._seen, stored, now)
        decision = lease.decide(self._seen, now, self._longest_order_s())
        if decision.kind is lease.Kind.WAIT:
            return min(max(decision.at - now, 0.0), self._lease_s * _POLL_PART)
        return await self._take(decision.epoch)

    async def _take(self, epoch: int) -> float:
        record = lease.Record(self._holder, epoch, self._lease_s)
        asked_at = trio.current_time()
        try:
            stored = await self._write(record, self._seen.version if self._seen else 0)
        except platform.ConflictError:
            return 0.0
        except platform.UnavailableError as exc:
            if not exc.outcome_unknown:
                raise
            own = await self._read_own(record)
            if own is None:
                return _RETRY_S
            stored = own
        self._hold(lease.Held(record, stored.version, asked_at))
        self._log.info("lease_taken", lease=self._name, epoch=epoch)
        return self._lease_s * lease.RENEW_PART

    async def _read_own(self, record: lease.Record) -> platform.Stored | None:
        stored = await self._store.get(KIND, self._name)
        self._seen = lease.look(self._seen, stored, trio.current_time())
        own = self._seen is not None and self._seen.record == record
        return stored if own else None

    async def _keep(self, held: lease.Held) -> float:
        now = trio.current_time()
        if now < held.renew_at():
            return held.renew_at() - now
        record = lease.renewed(held)
        try:
            stored = await self._write(record, held.version)
        except platform.ConflictError:
            self._lose("another holder")
            return self._lease_s * _POLL_PART
        except platform.UnavailableError as exc:
            if exc.outcome_unknown:
                await self._settle(held, record, now)
            return exc.retry_after_s or _RETRY_S
        self._hold(lease.Held(record, stored.version, now))
        return self._lease_s * lease.RENEW_PART

    async def _settle(self, held: lease.Held, sent: lease.Record, asked_at: float) -> None:
        stored = await self._store.get(KIND, self._name)
        self._seen = lease.look(self._seen, stored, trio.current_time())
        found = lease.after_read(held, sent, asked_at, self._seen)
        if found is None:
            self._lose("another holder")
        else:
            self._hold(found)

    def _hold(self, held: lease.Held) -> None:
        self._held = held
        self._seen = lease.Seen(held.record, held.version, trio.current_time())
        self._changed.set()
        self._changed = trio.Event()

    def _lose(self, why: str) -> None:
        self._held = None
        self._log.warning("lease_lost", lease=self._name, reason=why)

    def _drop_if_over(self) -> None:
        if self._held is not None and not self._held.valid(trio.current_time()):
            self._lose("not renewed in time")

    async def _write(self, record: lease.Record, version: int) -> platform.Stored:
        value = msgspec.json.encode(record)
        if version:
            return await self._store.update(KIND, self._name, value, version)
        return await self._store.create(KIND, self._name, value)

    async def _release(self) -> None:
        held = self.held()
        if held is None or self._orders or self._unsettled:
            return
        self._held = None
        record = msgspec.structs.replace(lease.renewed(held), released=True)
        with contextlib.suppress(errors.CornelgradeError):
            await self._write(record, held.version)
            self._log.info("lease_given_back", lease=self._name, epoch=held.record.epoch)
