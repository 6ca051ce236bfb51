"""A lease holder that is stopped by SIGSTOP between its check of the lease and its order.

Arguments: platform URL, engine address, version to load, order timeout in seconds.
"""

import os
import signal
import sys

import trio

from cornelgrade import errors
from cornelgrade.adapters import engine, platform_http, upstream_http
from cornelgrade.services import lease


async def main(url, address, version, timeout_s):
    async with platform_http.HttpPlatform(url) as store, trio.open_nursery() as nursery:
        orders_lease = lease.Lease(
            store, "orders", "paused", lease_s=1.0, longest_order_s=lambda: 1.0
        )
        nursery.start_soon(orders_lease.run)
        epoch = (await orders_lease.wait_until_held()).record.epoch
        upstream = upstream_http.HttpUpstream("e1", address)
        try:
            with orders_lease.guard_order(epoch), trio.fail_after(timeout_s):
                os.kill(os.getpid(), signal.SIGSTOP)
                order = engine.Order(engine.OrderKind.LOAD, epoch, "m", version)
                await upstream.order(order)
            print("carried out", flush=True)
        except trio.TooSlowError:
            print("not sent in time", flush=True)
        except errors.CornelgradeError as exc:
            print("refused", exc.message, flush=True)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main, sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
