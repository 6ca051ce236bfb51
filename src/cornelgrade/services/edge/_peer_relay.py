"""Relays a request to one peer and the peer's response to the caller."""

import trio

from cornelgrade import errors, kernel
from cornelgrade.adapters import http1
from cornelgrade.services.edge import (
    _relay_state,
    _response_relay,
    forwarding,
    ports,
    slot_permits,
)


class PeerRelay:
    """Calls peers with requests that can't be served here."""

    def __init__(
        self,
        kern: kernel.Kernel,
        call_format: ports.CallFormat,
        responses: _response_relay.ResponseRelay,
    ) -> None:
        self._forwarding = forwarding.Forwarding(kern, call_format)
        self._call_format = call_format
        self._responses = responses

    async def call(
        self, req: _relay_state.Request, progress: _relay_state.Progress, vm: str
    ) -> None:
        """Relay the response of a peer.

        :raises CallError: if the peer failed.
        :raises Refusal: if the peer refused the request, so that it has not run there.
        """
        exchange, caller = req.exchange, req.caller
        timeout_s = caller.timeout_s or req.route.timeout_s
        with await self._forwarding.connect(vm) as channel:
            headers = self._call_format.forwarded_headers(
                exchange.raw_headers,
                exchange.arrived_s + timeout_s - trio.current_time(),
                progress.last_event,
                caller.resumed_request or (caller.request_id if progress.started else ""),
            )
            # The peer makes one run, so that runs are counted here whatever becomes of it.
            earlier_runs = max(progress.runs, req.route.max_attempts - 1)
            await self._forwarding.send(channel, exchange, headers, earlier_runs, req.team)
            head = forwarding.drop_own_headers(await self._read_head(channel, req, progress))
            progress.framing = head.framing
            if not await self._responses.relay(channel, req, progress, head):
                raise channel.call_error("peer sent a stream without framing", _relay_state.STEP)
        await exchange.end_response()

    async def _read_head(
        self, channel: http1.Channel, req: _relay_state.Request, progress: _relay_state.Progress
    ) -> http1.ResponseHead:
        """Wait for the head of an upstream's response or of a refusal.

        :raises Refusal: if the peer refused the request.
        """
        idle_s = self._responses.idle_timeout_s(req, progress, req.route.aim_s)
        with trio.move_on_after(idle_s) as scope:
            head = await channel.read_head()
        if scope.cancelled_caught:
            raise channel.call_error(
                "no response within the timeout", _relay_state.STEP, timed_out=True
            )
        if self._call_format.verdict(head, req.caller.request_id) is ports.Verdict.RESPONSE:
            return head
        if head.status not in _relay_state.NOT_RUN_STATUSES:
            raise channel.call_error(f"peer failed with status {head.status}", _relay_state.STEP)
        raise errors.Refusal(
            errors.Code.OVERLOADED,
            f"{progress.peer} refused with status {head.status}",
            step="forward",
            retry_after_s=self._call_format.parse_retry_after(head) or slot_permits.RETRY_AFTER_S,
        )
