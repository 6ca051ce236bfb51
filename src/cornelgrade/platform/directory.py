"""Location and decoding of the platform's configuration and engine entries."""

from cornelgrade import routes
from cornelgrade.platform import entries, plans


class Directory:
    """Implements :class:`ports.Directory`."""

    plan_kind = plans.KIND
    plan_name = plans.NAME
    upstream_kind = entries.KIND

    def __init__(self) -> None:
        self._plans = plans.Decoder()

    def plan(self, value: bytes) -> routes.Plan | None:
        """Decode the operator's configuration, ``None`` if it is invalid."""
        return self._plans.decode(value)

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        """Decode an engine's entry, ``None`` if it is invalid."""
        return entries.decode(name, value)
