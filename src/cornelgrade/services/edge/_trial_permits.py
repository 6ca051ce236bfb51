"""The trials of ejected upstreams that a VM may send."""

import msgspec

from cornelgrade.policy import ejections, outlier


class _Permit(msgspec.Struct, frozen=True):
    count: int
    takes_any: bool
    until_s: float


class TrialPermits:
    """Counts the trials that this VM may send to each upstream."""

    def __init__(self) -> None:
        self._permits: dict[outlier.Start, _Permit] = {}

    def add(self, start: outlier.Start, count: int, takes_any: bool, now_s: float) -> None:
        """Add trials; those that were not used in time lapse.

        :param takes_any: whether a trial may be a request that can't be repeated.
        """
        self._permits = {s: p for s, p in self._permits.items() if now_s < p.until_s}
        held = self._permits[start].count if start in self._permits else 0
        self._permits[start] = _Permit(held + count, takes_any, now_s + ejections.TRIAL_USE_S)

    def may_send(self, start: outlier.Start, repeatable: bool, now_s: float) -> bool:
        """Return whether a request may be sent as a trial."""
        permit = self._permits.get(start)
        if permit is None or now_s >= permit.until_s:
            return False
        return repeatable or permit.takes_any

    def take(self, start: outlier.Start) -> bool:
        """Use up one trial; return ``False`` if there is none."""
        permit = self._permits.pop(start, None)
        if permit is not None and permit.count > 1:
            self._permits[start] = msgspec.structs.replace(permit, count=permit.count - 1)
        return permit is not None
