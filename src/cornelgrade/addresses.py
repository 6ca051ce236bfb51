"""Parse and format addresses of the form ``IP:port``."""

import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_host_port(address: str) -> tuple[str, int]:
    """Split an address into its host and port.

    :raises ValueError: if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_host_port(host: str, port: int) -> str:
    """Format a host and port as an address; an IPv6 host is put in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def is_ip_and_port(address: str) -> bool:
    """Return whether an address is an IP address with a port from 1 on.

    Host names are none, as looking them up may block.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT
