"""Parse and format addresses of the form ``IP:port``."""


def split_host_port(address: str) -> tuple[str, int]:
    """Split an address into its host and port.

    :raises ValueError: if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_host_port(host: str, port: int) -> str:
    """Format a host and port as an address; an IPv6 host is put in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
