"""Finds the response to a request among those that an upstream sends on its connection."""

from cornelgrade import logs, routes
from cornelgrade.adapters import http1
from cornelgrade.services.edge import ports, upstream_notices

_log = logs.Logger("own_response")


async def read_head(
    channel: http1.Channel,
    call_format: ports.CallFormat,
    notices: upstream_notices.UpstreamNotices,
    up: routes.Upstream,
    request_id: str,
) -> tuple[http1.ResponseHead, ports.Verdict]:
    """Skip responses to other requests; return the head of the first other one with its verdict.

    :raises CallError: if the connection fails or too much was skipped.
    """
    after_foreign = False
    while True:
        head = await channel.read_head()
        notices.record(up, head)
        verdict = call_format.verdict(head, request_id, after_foreign=after_foreign)
        if verdict is not ports.Verdict.FOREIGN:
            return head, verdict
        _log.warning("foreign_response", request=request_id, upstream=up.name)
        after_foreign = True
        await channel.skip_response()
