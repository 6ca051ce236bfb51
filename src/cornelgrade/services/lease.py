"""Acquires, renews and releases one lease object on the platform."""

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
_POLL_FRACTION = 1 / 3
_RETRY_S = 0.5
_RELEASE_TIMEOUT_S = 2.0


class NotHeldError(errors.CornelgradeError):
    """The lease is not held, or ends too soon to act on it."""


class Lease:
    """One process's side of a lease.

    :param name: the platform object's name.
    :param holder: the VM's name; a random session id is appended to it.
    :param eligible: returns whether this VM should try to acquire the lease; a holder keeps it
        in any case.
    :param longest_order_s: returns how long an order of a past holder may still be in flight; 0
        only if every receiver checks the fencing number.
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
        self._last_read: lease.ObservedLease | None = None
        self._held: lease.HeldLease | None = None
        self._orders_in_flight = 0
        self._order_outcome_unknown = False
        self._changed = trio.Event()

    def held(self) -> lease.HeldLease | None:
        """Return the lease if this process may act on it now."""
        if self._held is not None and self._held.is_valid(trio.current_time()):
            return self._held
        return None

    def last_read(self) -> lease.ObservedLease | None:
        """Return the record as it was last read."""
        return self._last_read

    async def wait_until_held(self) -> lease.HeldLease:
        """Wait until the lease is held."""
        while True:
            current = self.held()
            if current is not None:
                return current
            await self._changed.wait()

    @contextlib.contextmanager
    def guard_order(self, epoch: int) -> Iterator[None]:
        """Check the lease right before an order that carries ``epoch``, and track the order.

        An order that ends with an exception may still be in flight. The lease is then left to
        expire instead of being released.

        :raises NotHeldError: if the lease is no longer held in that epoch.
        """
        current = self.held()
        if current is None or current.record.epoch != epoch:
            raise NotHeldError(
                f"the lease for epoch {epoch} is no longer held",
                step="check lease",
                peer=self._name,
            )
        self._orders_in_flight += 1
        completed = False
        try:
            yield
            completed = True
        finally:
            self._orders_in_flight -= 1
            self._order_outcome_unknown = self._order_outcome_unknown or not completed

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled, then release it."""
        try:
            while True:
                try:
                    wait_s = await self._step()
                except platform.UnavailableError as exc:
                    wait_s = exc.retry_after_s or _RETRY_S
                self._drop_if_expired()
                await trio.sleep(wait_s)
        finally:
            with trio.move_on_after(_RELEASE_TIMEOUT_S, shield=True):
                await self._release()

    async def _step(self) -> float:
        if self._held is not None:
            return await self._renew(self._held)
        if not self._eligible():
            return self._lease_s * _POLL_FRACTION
        stored = await self._store.get(KIND, self._name)
        now = trio.current_time()
        self._last_read = lease.observe(self._last_read, stored, now)
        decision = lease.decide(self._last_read, now, self._longest_order_s())
        if decision.kind is lease.DecisionKind.WAIT:
            return min(max(decision.at - now, 0.0), self._lease_s * _POLL_FRACTION)
        return await self._acquire(decision.epoch)

    async def _acquire(self, epoch: int) -> float:
        record = lease.Record(self._holder, epoch, self._lease_s)
        requested_at = trio.current_time()
        try:
            stored = await self._write(record, self._last_read.version if self._last_read else 0)
        except platform.ConflictError:
            return 0.0
        except platform.UnavailableError as exc:
            if not exc.outcome_unknown:
                raise
            own = await self._find_own_write(record)
            if own is None:
                return _RETRY_S
            stored = own
        self._set_held(lease.HeldLease(record, stored.version, requested_at))
        self._log.info("lease_acquired", lease=self._name, epoch=epoch)
        return self._lease_s * lease.RENEW_FRACTION

    async def _find_own_write(self, record: lease.Record) -> platform.StoredObject | None:
        stored = await self._store.get(KIND, self._name)
        self._last_read = lease.observe(self._last_read, stored, trio.current_time())
        own = self._last_read is not None and self._last_read.record == record
        return stored if own else None

    async def _renew(self, held: lease.HeldLease) -> float:
        now = trio.current_time()
        if now < held.renew_at():
            return held.renew_at() - now
        record = lease.make_renewal(held)
        try:
            stored = await self._write(record, held.version)
        except platform.ConflictError:
            self._mark_lost("another holder")
            return self._lease_s * _POLL_FRACTION
        except platform.UnavailableError as exc:
            if exc.outcome_unknown:
                await self._resolve_lost_renewal(held, record, now)
            return exc.retry_after_s or _RETRY_S
        self._set_held(lease.HeldLease(record, stored.version, now))
        return self._lease_s * lease.RENEW_FRACTION

    async def _resolve_lost_renewal(
        self, held: lease.HeldLease, sent: lease.Record, requested_at: float
    ) -> None:
        stored = await self._store.get(KIND, self._name)
        self._last_read = lease.observe(self._last_read, stored, trio.current_time())
        current = lease.resolve_renewal(held, sent, requested_at, self._last_read)
        if current is None:
            self._mark_lost("another holder")
        else:
            self._set_held(current)

    def _set_held(self, held: lease.HeldLease) -> None:
        self._held = held
        self._last_read = lease.ObservedLease(held.record, held.version, trio.current_time())
        self._changed.set()
        self._changed = trio.Event()

    def _mark_lost(self, why: str) -> None:
        self._held = None
        self._log.warning("lease_lost", lease=self._name, reason=why)

    def _drop_if_expired(self) -> None:
        if self._held is not None and not self._held.is_valid(trio.current_time()):
            self._mark_lost("not renewed in time")

    async def _write(self, record: lease.Record, version: int) -> platform.StoredObject:
        value = msgspec.json.encode(record)
        if version:
            return await self._store.update(KIND, self._name, value, version)
        return await self._store.create(KIND, self._name, value)

    async def _release(self) -> None:
        held = self.held()
        if held is None or self._orders_in_flight or self._order_outcome_unknown:
            return
        self._held = None
        record = msgspec.structs.replace(lease.make_renewal(held), released=True)
        with contextlib.suppress(errors.CornelgradeError):
            await self._write(record, held.version)
            self._log.info("lease_released", lease=self._name, epoch=held.record.epoch)
