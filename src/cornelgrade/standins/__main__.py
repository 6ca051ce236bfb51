"""Runs one stand-in as a process of its own: ``python -m cornelgrade.standins KIND``."""

import signal

import docopt
import msgspec
import trio

from cornelgrade import logs
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import (
    engine_http,
    engine_model,
    fault_proxy,
    plain_service,
    platform_http,
)

USAGE = """Run a stand-in on loopback until it is interrupted.

It prints one line, event=listening address=IP:PORT, once it is up.

Usage:
  standins platform [--port N]
  standins engine [--port N] [--name NAME] [--config JSON]
  standins plain [--port N] [--name NAME]
  standins proxy --target ADDRESS [--port N] [--control-port N]

Options:
  --port N            Port to listen on, 0 picks a free one [default: 0].
  --name NAME         Name of the upstream [default: stand-in].
  --config JSON       The engine's speed and size [default: {}].
  --target ADDRESS    IP:PORT that the proxy relays to.
  --control-port N    Port of the proxy's switches [default: 0].
"""
HOST = "127.0.0.1"


def _say(event: str, **pairs: logs.Value) -> None:
    print(logs.format_line(event, pairs), flush=True)


async def _platform(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    return await nursery.start(platform_http.PlatformServer().serve, address)


async def _engine(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    cfg = msgspec.json.decode(args["--config"], type=engine_model.Config)
    held = engine_standin.Engine(args["--name"], cfg)
    return await nursery.start(engine_http.EngineServer(held).serve, address)


async def _plain(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    held = plain_service.PlainService(args["--name"])
    return await nursery.start(plain_service.PlainServer(held).serve, address)


async def _proxy(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    proxy = fault_proxy.FaultProxy(args["--target"])
    control = await nursery.start(proxy.serve_control, f"{HOST}:{args['--control-port']}")
    bound = await nursery.start(proxy.serve, address)
    _say("control", address=control)
    return bound


_KINDS = {"platform": _platform, "engine": _engine, "plain": _plain, "proxy": _proxy}


async def _stop_on_signal(
    scope: trio.CancelScope, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()


async def run(args: dict[str, str]) -> None:
    """Run the chosen stand-in until cancelled."""
    kind = next(name for name in _KINDS if args[name])
    async with trio.open_nursery() as nursery:
        await nursery.start(_stop_on_signal, nursery.cancel_scope)
        bound = await _KINDS[kind](nursery, args, f"{HOST}:{args['--port']}")
        _say("listening", address=bound)


def main(argv: list[str] | None = None) -> None:
    """Run one stand-in until SIGINT or SIGTERM."""
    trio.run(run, docopt.docopt(USAGE, argv=argv))


if __name__ == "__main__":
    main()
