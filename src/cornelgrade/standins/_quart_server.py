"""Serve a stand-in's quart application with hypercorn on trio."""

import hypercorn.config
import hypercorn.trio
import quart_trio
import trio

KEEP_ALIVE_S = 300.0


def make_config(address: str) -> hypercorn.config.Config:
    """Return hypercorn's configuration for an ``IP:port``; port 0 picks a free one."""
    cfg = hypercorn.config.Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.graceful_timeout = 0.1
    return cfg


async def serve(
    app: quart_trio.QuartTrio,
    address: str,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; reports the bound ``IP:port``."""
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn.trio.serve, app, make_config(address))
        task_status.started(binds[0].split("://")[-1])
