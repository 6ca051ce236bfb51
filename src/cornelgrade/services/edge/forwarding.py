"""Forwards requests to another gateway, and checks those that another one forwards here.

A forwarded request goes to the address of the peer's datagrams, over TCP. The headers that mark it
are signed with the fleet's key, so that no caller can use that address.
"""

import time

import msgspec

from cornelgrade import errors, kernel
from cornelgrade.adapters import engine, http1, http1_server, peer_auth
from cornelgrade.services.edge import peer_calls, peers, ports

CONNECT_TIMEOUT_S = 0.25
# What the headers that mark a forwarded request add to those of the caller.
MAX_OWN_HEADER_BYTES = 2048
_RUNS = b"cornelgrade-runs"
_SENDER = b"cornelgrade-sender"
_TEAM = b"cornelgrade-team"
_AUTH = peer_auth.AUTH_HEADER.encode()
# Peers of earlier builds name the origin of a stream in these.
_OLD_RESPONSE_HEADERS = frozenset((b"cornelgrade-service", b"cornelgrade-version"))
_OWN_HEADERS = frozenset((_RUNS, _SENDER, _TEAM, _AUTH, peer_calls.MARK.encode()))


class Hop(msgspec.Struct, frozen=True):
    """Where a forwarded request came from.

    :param sender: the gateway that forwarded it.
    :param runs: upstreams that may have run it before.
    :param team: the team that it belongs to, if any; the sender has checked its key.
    """

    sender: str
    runs: int
    team: str = ""


class Forwarding:
    """Opens and accepts forwarded requests."""

    def __init__(self, kern: kernel.Kernel, call_format: ports.CallFormat) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._call_format = call_format

    async def connect(self, vm: str) -> http1.Channel:
        """Open a channel to a peer.

        :raises CallError: with progress ``NOT_SENT``.
        """
        address = self._peers.address_of(vm)
        if address is None or self._peers.key is None:
            raise engine.CallError(
                "address or key is unknown",
                step="forward",
                peer=vm,
                progress=engine.Progress.NOT_SENT,
            )
        return await http1.connect(address, CONNECT_TIMEOUT_S)

    async def send(
        self,
        channel: http1.Channel,
        exchange: http1_server.Exchange,
        headers: http1.Headers,
        runs: int,
        team: str,
    ) -> None:
        """Send a request with the headers that mark it as forwarded."""
        assert self._peers.key is not None
        kept = tuple((k, v) for k, v in headers if k not in _OWN_HEADERS)
        signed = _signed_text(exchange, self._peers.vm, str(runs), team)
        auth, _ = peer_auth.make_auth_header(
            self._peers.key, self._peers.vm, channel.peer, signed, time.time()
        )
        marks = (
            (_SENDER, self._peers.vm.encode()),
            (_RUNS, str(runs).encode()),
            *(((_TEAM, team.encode("latin-1")),) if team else ()),
            (_AUTH, auth.encode()),
        )
        await channel.send(exchange.method, exchange.target, kept + marks, exchange.body)

    def accept(self, exchange: http1_server.Exchange, own_address: str) -> Hop:
        """Return where a request came from, and remove the headers that say so.

        :raises Refusal: ``UNAUTHORIZED`` if no peer sent it.
        """
        if self._peers.key is None:
            raise errors.Refusal(errors.Code.UNAVAILABLE, "no key yet", step="authenticate peer")
        sender = exchange.headers.get(_SENDER.decode(), "")
        runs = exchange.headers.get(_RUNS.decode(), "")
        team = exchange.headers.get(_TEAM.decode(), "")
        peer_auth.verify_auth_header(
            self._peers.key,
            exchange.headers.get(peer_auth.AUTH_HEADER),
            own_address,
            _signed_text(exchange, sender, runs, team),
            time.time(),
        )
        exchange.raw_headers = tuple(
            (k, v) for k, v in exchange.raw_headers if k not in _OWN_HEADERS
        )
        return Hop(sender, int(runs), team)


def drop_own_headers(head: http1.ResponseHead) -> http1.ResponseHead:
    """Return the head of a response without what peers of earlier builds add to it."""
    kept = tuple((k, v) for k, v in head.headers if k not in _OLD_RESPONSE_HEADERS)
    return http1.ResponseHead(head.status, kept)


def _signed_text(exchange: http1_server.Exchange, sender: str, runs: str, team: str) -> str:
    text = f"{exchange.method} {exchange.target.decode('latin-1')} {sender} {runs}"
    return f"{text} {team}" if team else text
