"""Load reports between gateways and batch owners."""

import trio

from cornelgrade import routes
from cornelgrade.adapters import peer_key
from cornelgrade.schema import codec, messages
from cornelgrade.services.edge import upstream_uses

UP = routes.Upstream("up", "s", "127.0.0.1:1", "north", 8)


class Outbox:
    """Keeps the datagrams that would be sent."""

    def __init__(self):
        self.sent = []

    def send(self, vm, message):
        self.sent.append((vm, message))


# Guards against durations that cost datagrams: they go out with counts that are sent anyway.
async def test_mean_duration_is_reported_without_more_messages(autojump_clock):
    outbox = Outbox()
    uses = upstream_uses.UpstreamUses(outbox, None, lambda _: 0, lambda: None, lambda *_: None)
    send, received = trio.open_memory_channel(100)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(uses.receive_uses, received)
        counts = {}
        for took_ms in (0, 900):
            outbox.sent.clear()
            for n in range(20):
                use = messages.UpstreamUse("up", n % 2, took_ms=took_ms)
                send.send_nowait(messages.Uses((use,), vm="gateway-0"))
                send.send_nowait(messages.Uses((messages.UpstreamUse("up", 0),), vm="gateway-1"))
                await trio.sleep(0.05)
                uses.send_to_gateways([UP])
            counts[took_ms] = len(outbox.sent)
        nursery.cancel_scope.cancel()
    assert counts[900] == counts[0]
    assert 850 <= outbox.sent[-1][1].uses[0].took_ms <= 900


# Guards against load reports that are dropped because a datagram is too large: a gateway follows 24
# upstreams, which one worker may own.
def test_durations_fit_in_a_datagram_with_all_counts():
    uses = tuple(messages.UpstreamUse(f"engine-{n:017d}", 9, 8, took_ms=9_000) for n in range(24))
    body = messages.Uses(uses)
    datagram = messages.Datagram("frontend-providencia-10", 2**60, 2**40, 1.8e9, body)
    assert len(codec.encode(datagram)) + peer_key.TAG_BYTES <= codec.MAX_DATAGRAM_BYTES
