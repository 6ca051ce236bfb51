"""Addresses written as ``IP:port``."""


def split_host_port(address: str) -> tuple[str, int]:
    """Take an address apart.

    :raises ValueError: if the port is no number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_host_port(host: str, port: int) -> str:
    """Put an address together."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
