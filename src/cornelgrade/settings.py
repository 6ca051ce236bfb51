"""Settings of a process, read from one JSON file per VM."""

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/]+$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate and key files of the gateway's HTTPS server."""

    certificate_file: str
    key_file: str


class Tracing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where spans are written.

    :param share: the fraction of traces begun here that are recorded.
    :param max_file_bytes: size at which the file is rotated to ``FILE.1``.
    """

    file: str
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01
    max_file_bytes: Annotated[int, msgspec.Meta(ge=1)] = 10_000_000


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a VM's processes need before they can read the manifest.

    Addresses are ``IP:port``; ``gateway_address`` is for callers (TCP), ``peer_address`` and
    ``worker_address`` are for datagrams (UDP).
    """

    vm: Name
    failure_domain: Name
    region: Name = "local"
    roles: tuple[Literal["gateway", "worker"], ...] = ("gateway", "worker")
    gateway_address: Address
    peer_address: Address
    worker_address: Address
    seeds: tuple[Address, ...] = ()
    platform_url: Url
    platform_deadline_s: Seconds = 2.0
    peer_key_file: str
    operator_key_hashes: tuple[str, ...] = ()
    tls: Tls | None = None
    data_folder: str | None = None
    log_level: Literal["debug", "info", "notice", "warning", "error"] = "info"
    tracing: Tracing | None = None
    drain_grace_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 1.0


class EdgeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a daemon that routes by host and path needs to start.

    Addresses are ``IP:port``.

    :param caller_address: listens for callers; gateways only.
    :param ready_address: serves the load balancer's readiness checks; gateways only.
    :param store_address: the platform's object store.
    :param value_bytes: maximum size of an object in the store.
    :param response_bytes: maximum size of the body of an upstream's response; one that is longer is
        broken off, because it may never end.
    :param buffer_bytes: maximum size of what is buffered of callers' requests and for callers that
        read slowly, all together.
    :param metrics_address: serves metrics; if unset, none are served.
    :param stop_grace_s: time between the signal to stop and the kill.
    :param retention_s: how long a job can be read after its submission.
    :param remote_cost_requests: how many requests more a gateway sends to an upstream of its own
        failure domain before it prefers one of another; 0 treats all alike.
    """

    vm: Name
    failure_domain: Name
    caller_address: Address | None = None
    ready_address: Address | None = None
    peer_address: Address
    metrics_address: Address | None = None
    store_address: Address
    store_deadline_s: Seconds = 2.0
    value_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 1_000_000
    response_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 64 * 1024 * 1024
    buffer_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 32 * 1024 * 1024
    stop_grace_s: Seconds = 8.0
    retention_s: Seconds = 120.0
    remote_cost_requests: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    log_level: Literal["debug", "info", "notice", "warning", "error"] = "info"
