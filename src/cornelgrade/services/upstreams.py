"""The service ``upstreams``: one client for each upstream of the manifest in force."""

import contextlib
from collections.abc import Callable
from typing import Protocol

import trio

from cornelgrade import errors, kernel
from cornelgrade.adapters import engine, upstream_http
from cornelgrade.services import ports


class Pool(Protocol):
    """Looks up the client of an upstream by its name."""

    def get(self, name: str) -> engine.Upstream:
        """Return a client; raises a Refusal (``UNAVAILABLE``) for an unknown name."""


class Upstreams:
    """Keeps one client for each upstream of the manifest in force.

    When an upstream leaves the manifest, its client is dropped, not closed: running calls hold
    their own connections and finish.
    """

    name = "upstreams"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._kern = kern
        self._clients: dict[str, upstream_http.HttpUpstream] = {}
        self._addresses: dict[str, str] = {}
        self._version = -1

    def get(self, name: str) -> engine.Upstream:
        """Return the client of an upstream.

        :raises Refusal: ``UNAVAILABLE`` if the manifest has no such upstream.
        """
        self._refresh()
        client = self._clients.get(name)
        if client is None:
            raise errors.Refusal(
                errors.Code.UNAVAILABLE, "upstream left the manifest", step="connect", peer=name
            )
        return client

    async def run(self, started: Callable[[], None]) -> None:
        """Follow the manifest until cancelled, then close the connections."""
        configuration = self._kern.find("configuration", ports.Configuration)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            started()
            while True:
                accepted = await configuration.wait_newer(self._version)
                self._refresh()
                self._version = accepted.version

    def _refresh(self) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None or accepted.version == self._version:
            return
        self._version = accepted.version
        wanted = {up.name: up.address for up in accepted.manifest.upstreams}
        for name in [n for n, address in self._addresses.items() if wanted.get(n) != address]:
            del self._clients[name]
            del self._addresses[name]
        for name, address in wanted.items():
            if name not in self._clients:
                self._clients[name] = upstream_http.HttpUpstream(name, address)
                self._addresses[name] = address

    async def _close(self) -> None:
        with trio.CancelScope(shield=True), trio.move_on_after(1.0):
            for client in self._clients.values():
                await client.__aexit__(None, None, None)
