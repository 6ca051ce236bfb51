"""The service ``peer_calls``: calls between the processes of the fleet over TCP, for what is large.

A call is a GET, or a POST if it has a body, at the address of the peer's datagrams. Request and
response are signed with the fleet's key. A header marks it, because gateways take forwarded
requests at the same address, and the signature covers that it is a call.
"""

import hashlib
import time
import urllib.parse
from collections.abc import Awaitable, Callable

import trio

from cornelgrade import errors, kernel, logs, settings
from cornelgrade.adapters import engine, http1, http1_server, peer_auth
from cornelgrade.services.edge import peers

MARK = "cornelgrade-call"
CONNECT_TIMEOUT_S = 0.25
# A body holds an object of the store at most, in which results are larger than in a call.
LIMITS = http1_server.Limits(header_bytes=8192, body_bytes=8_000_000)
_DIGEST_BYTES = 16
_NOTHING_STATUS = errors.STATUS[errors.Code.NOT_FOUND]
_AUTH = peer_auth.AUTH_HEADER.encode()
_TAG = peer_auth.TAG_HEADER.encode()
_log = logs.Logger("peer_calls")

# Returns the body of a response to the query and the body of a call, ``None`` if there is none.
Handler = Callable[[dict[str, str], bytes], Awaitable[bytes | None]]


class PeerCalls:
    """Makes calls to peers, and passes theirs to the services that registered for them.

    :param listens: whether this service listens for calls; at a gateway the frontend does, and
        passes them on.
    """

    name = "peer_calls"

    def __init__(self, kern: kernel.Kernel, cfg: settings.EdgeSettings, *, listens: bool) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._own_address = cfg.peer_address
        self._listens = listens
        self._handlers: dict[str, Handler] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Listen until cancelled."""
        if not self._listens:
            started()
            await trio.sleep_forever()
        server = http1_server.Server(self._handle_at_worker, lambda: LIMITS)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, self._own_address)
            started()

    def register(self, path: str, handler: Handler) -> None:
        """Pass calls of a path to a handler."""
        self._handlers[path] = handler

    async def call(
        self, vm: str, target: str, timeout_s: float, limit_bytes: int, body: bytes = b""
    ) -> bytes | None:
        """Call a peer; return the body of its response, ``None`` if it has none to give.

        :param target: a path and, after a question mark, a query.
        :param timeout_s: for the complete response.
        :param limit_bytes: maximum size of the response.
        :param body: of the request.
        :raises NotReachableError: without a valid response.
        """
        address, key = self._peers.address_of(vm), self._peers.key
        if address is None or key is None:
            raise errors.NotReachableError("address or key is unknown", step=target, peer=vm)
        auth, nonce = peer_auth.make_auth_header(
            key, self._peers.vm, address, _signed_text(target, body), time.time()
        )
        marks = (
            (b"host", address.encode()),
            (MARK.encode(), b"1"),
            (_AUTH, auth.encode()),
        )
        try:
            with trio.fail_after(timeout_s):
                with await http1.connect(address, CONNECT_TIMEOUT_S) as channel:
                    method = "POST" if body else "GET"
                    await channel.send(method, target.encode(), marks, body)
                    head = await channel.read_head()
                    received = await channel.read_body(limit_bytes)
        except (engine.CallError, trio.TooSlowError) as exc:
            raise errors.NotReachableError(repr(exc), step=target, peer=vm) from exc
        if head.status == _NOTHING_STATUS:
            return None
        if head.status != 200:
            raise errors.NotReachableError(f"status {head.status}", step=target, peer=vm)
        tag = (head.get(_TAG) or b"").decode("latin-1")
        if not peer_auth.verify_response_tag(key, tag, nonce, received):
            raise errors.NotReachableError("response tag does not match", step=target, peer=vm)
        return received

    async def handle(self, exchange: http1_server.Exchange) -> bool:
        """Respond to a call; return ``False`` if the request is none."""
        if MARK not in exchange.headers:
            return False
        key = self._peers.key
        if key is None:
            await exchange.respond(errors.STATUS[errors.Code.UNAVAILABLE], b"", ())
            return True
        target = exchange.target.decode("latin-1")
        try:
            nonce = peer_auth.verify_auth_header(
                key,
                exchange.headers.get(peer_auth.AUTH_HEADER),
                self._own_address,
                _signed_text(target, exchange.body),
                time.time(),
            )
        except errors.Refusal as exc:
            _log.warning("peer_call_rejected", target=target, error=exc.format_message())
            await exchange.respond(exc.status, b"", ())
            return True
        handler = self._handlers.get(exchange.path)
        body = await handler(exchange.query, exchange.body) if handler else None
        if body is None:
            await exchange.respond(_NOTHING_STATUS, b"", ())
            return True
        tag = peer_auth.make_response_tag(key, nonce, body)
        await exchange.respond(200, body, ((peer_auth.TAG_HEADER, tag),))
        return True

    async def _handle_at_worker(self, exchange: http1_server.Exchange) -> None:
        if not await self.handle(exchange):
            await exchange.respond(_NOTHING_STATUS, b"", ())


def encode_query(**values: object) -> str:
    """Encode the query of a call's target."""
    return urllib.parse.urlencode(values)


def _signed_text(target: str, body: bytes) -> str:
    text = f"call {target}"
    if not body:
        return text
    return f"{text} {hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()}"
