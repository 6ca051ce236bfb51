"""Run one stand-in as a separate process: ``python -m cornelgrade.standins KIND``."""

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


def _print_event(event: str, **pairs: logs.Value) -> None:
    print(logs.format_line(event, pairs), flush=True)


async def _start_platform(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    return await nursery.start(platform_http.PlatformServer().serve, address)


async def _start_engine(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    cfg = msgspec.json.decode(args["--config"], type=engine_model.Config)
    standin = engine_standin.Engine(args["--name"], cfg)
    return await nursery.start(engine_http.EngineServer(standin).serve, address)


async def _start_plain(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    standin = plain_service.PlainService(args["--name"])
    return await nursery.start(plain_service.PlainServer(standin).serve, address)


async def _start_proxy(nursery: trio.Nursery, args: dict[str, str], address: str) -> str:
    proxy = fault_proxy.FaultProxy(args["--target"])
    control = await nursery.start(proxy.serve_control, f"{HOST}:{args['--control-port']}")
    bound = await nursery.start(proxy.serve, address)
    _print_event("control", address=control)
    return bound


_STARTERS = {
    "platform": _start_platform,
    "engine": _start_engine,
    "plain": _start_plain,
    "proxy": _start_proxy,
}


async def _stop_on_signal(
    scope: trio.CancelScope, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()


async def run(args: dict[str, str]) -> None:
    """Run the chosen stand-in until cancelled."""
    kind = next(name for name in _STARTERS if args[name])
    async with trio.open_nursery() as nursery:
        await nursery.start(_stop_on_signal, nursery.cancel_scope)
        bound = await _STARTERS[kind](nursery, args, f"{HOST}:{args['--port']}")
        _print_event("listening", address=bound)


def main(argv: list[str] | None = None) -> None:
    """Run one stand-in until SIGINT or SIGTERM."""
    trio.run(run, docopt.docopt(USAGE, argv=argv))


if __name__ == "__main__":
    main()
