import pytest
import trio

from cornelgrade import errors, kernel


class Flaky:
    name = "flaky"

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.starts = 0

    async def run(self, started):
        self.starts += 1
        started()
        if self.starts <= self.failures:
            raise RuntimeError("broken")
        await trio.sleep_forever()


async def test_service_is_restarted_after_an_error(autojump_clock):
    service = Flaky(failures=3)
    kern = kernel.Kernel()
    kern.add(service, kernel.Supervision(on_exit=kernel.OnExit.RESTART))
    with trio.move_on_after(10):
        await kern.run()
    assert service.starts == 4


async def test_error_of_a_service_without_restart_stops_the_kernel(autojump_clock):
    kern = kernel.Kernel()
    kern.add(Flaky(failures=1))
    with pytest.raises(ExceptionGroup) as caught, trio.fail_after(10):
        await kern.run()
    assert caught.group_contains(RuntimeError, match="broken")


def test_unknown_service_raises_an_error():
    with pytest.raises(errors.CornelgradeError, match="no service router"):
        kernel.Kernel().find("router", object)
