"""A process's settings: one JSON file for each VM, decoded into frozen classes."""

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/]+$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate and key files that the gateway shows to callers."""

    certificate_file: str
    key_file: str


class Tracing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where spans are written.

    :param share: the share of traces begun here that are recorded.
    :param max_file_bytes: size at which the file is renamed to ``FILE.1`` and begun anew.
    """

    file: str
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01
    max_file_bytes: Annotated[int, msgspec.Meta(ge=1)] = 10_000_000


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What one VM's processes need to know before they can read the manifest.

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
