import time

import trio

from cornelgrade import metrics
from cornelgrade.services import event_loop_watch


# Guards against a process that keeps all its callers waiting and shows nothing of it.
async def test_step_that_lasts_long_is_counted(nursery):
    watch = event_loop_watch.EventLoopWatch()
    stalls = metrics.counter("cornelgrade_event_loop_stalls_total", "")
    before = stalls.values.get({}) or 0
    nursery.start_soon(watch.run, lambda: None)
    await trio.sleep(0.01)
    time.sleep(event_loop_watch.INTERVAL_S + event_loop_watch.LOGGED_S + 0.1)
    await trio.sleep(0.01)
    assert stalls.values[{}] == before + 1
    nursery.cancel_scope.cancel()
