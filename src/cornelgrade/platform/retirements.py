"""Operators' requests to drain a VM, which the platform calls retirements."""

import msgspec

from cornelgrade.platform import objects
from cornelgrade.services.edge import ports

_STATUS_VALUES = {ports.RetirementState.RUNNING: "running", ports.RetirementState.DONE: "completed"}


class _Status(msgspec.Struct):
    state: str


class Retirements:
    """Implements :class:`ports.Retirements`; each object of :attr:`kind` is named after its VM."""

    kind = "retirements"

    def __init__(self, store: objects.ObjectStore) -> None:
        self._store = store

    async def report_state(self, vm: str, state: ports.RetirementState) -> None:
        """Write the state of a VM's drain to the status of its object.

        :raises UnavailableError: if the status may not have been written.
        """
        status = msgspec.json.encode(_Status(_STATUS_VALUES[state]))
        await self._store.put_status(self.kind, vm, status)
