"""Where the platform keeps desired states and engine entries: :class:`ports.Directory`."""

from cornelgrade import routes
from cornelgrade.platform import entries, plans


class Directory:
    """Names the platform's kinds and decodes what lies there."""

    plan_kind = plans.KIND
    plan_name = plans.NAME
    upstream_kind = entries.KIND

    def plan(self, value: bytes) -> routes.Plan | None:
        """Decode a desired state, ``None`` if it can't be read."""
        return plans.read(value)

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        """Decode an entry; ``None`` if it names no engine that can be used."""
        return entries.read(name, value)
