"""The manifest: the fleet's desired state as declared by operators."""

from typing import Annotated, Literal

import msgspec

from cornelgrade import settings

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]


class Adapter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fine-tuned adapter of a model."""

    name: settings.Name
    version: Count = 1


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model with the version that engines should serve."""

    name: settings.Name
    version: Count = 1
    adapters: tuple[Adapter, ...] = ()


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of interchangeable upstreams.

    ``non_idempotent_routes`` are path prefixes whose calls run at most once.
    """

    name: settings.Name
    kind: Literal["model", "plain"] = "model"
    models: tuple[settings.Name, ...] = ()
    non_idempotent_routes: tuple[str, ...] = ()


class Priority(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service class; lower ``rank`` runs first, ``price`` is the weight of batch work."""

    name: settings.Name
    rank: Annotated[int, msgspec.Meta(ge=0, le=1000)]
    price: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of callers that is billed; ``key_hashes`` are SHA-256 hex digests of its keys.

    The first of ``priorities`` is the default for requests that name none.
    """

    name: settings.Name
    key_hashes: tuple[Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")], ...]
    priorities: Annotated[tuple[settings.Name, ...], msgspec.Meta(min_length=1)]
    rate_per_s: Rate = 100.0
    burst: Count = 200
    operator: bool = False


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model engine or a plain service at one address.

    ``checks_fencing``: whether the engine rejects an order with an outdated fencing number.
    ``software_version``: the engine's own version; a stream goes on only at the version that began
    it. It is left out of the encoding if unset, since earlier builds reject fields they don't know.
    """

    name: settings.Name
    service: settings.Name
    failure_domain: settings.Name
    address: settings.Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 8
    checks_fencing: bool = False
    role: Literal["mixed", "prefill", "decode"] = "mixed"
    software_version: Annotated[str, msgspec.Meta(max_length=64)] | msgspec.UnsetType = (
        msgspec.UNSET
    )


class BatchPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Batch settings; ``lean`` runs from 0 (favor tail latency) to 1 (favor throughput)."""

    lean: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    chunk_items: Annotated[int, msgspec.Meta(ge=1, le=2000)] = 250
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 4
    lease_s: settings.Seconds = 10.0
    retention_s: Annotated[float, msgspec.Meta(gt=0)] = 7 * 86_400.0


class OnlinePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of online requests.

    ``relay_interval_s`` is the minimum time between two writes of a stream to its caller; 0
    relays each part at once.
    """

    queue_limit: Count = 512
    first_token_timeout_s: settings.Seconds = 5.0
    token_gap_timeout_s: settings.Seconds = 3.0
    relay_interval_s: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.04
    default_deadline_s: settings.Seconds = 60.0
    max_body_bytes: Count = 1_000_000
    retry_budget: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    retention_s: Annotated[float, msgspec.Meta(gt=0)] = 86_400.0


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete desired state of a fleet."""

    services: tuple[Service, ...]
    priorities: tuple[Priority, ...]
    teams: tuple[Team, ...]
    upstreams: tuple[Upstream, ...]
    models: tuple[Model, ...] = ()
    batch: BatchPolicy = BatchPolicy()
    online: OnlinePolicy = OnlinePolicy()
