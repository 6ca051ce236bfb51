"""The operator's requests to empty a machine: :class:`ports.Retirements`."""

import msgspec

from cornelgrade.platform import objects
from cornelgrade.services.edge import ports

_STATES = {ports.RetirementState.RUNNING: "running", ports.RetirementState.DONE: "completed"}


class _Status(msgspec.Struct):
    state: str


class Retirements:
    """Names the platform's kind, whose objects carry the machine's name, and writes its status."""

    kind = "retirements"

    def __init__(self, store: objects.Objects) -> None:
        self._store = store

    async def report_state(self, vm: str, state: ports.RetirementState) -> None:
        """Write how far a machine's emptying is.

        :raises UnavailableError: if it may not have been written.
        """
        status = msgspec.json.encode(_Status(_STATES[state]))
        await self._store.put_status(self.kind, vm, status)
