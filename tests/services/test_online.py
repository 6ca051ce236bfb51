import contextlib
import random

import pytest
import trio
from tests import fakes

from cornelgrade import errors, kernel
from cornelgrade.adapters import engine
from cornelgrade.services import exchange, online, router

DOWN = engine.Progress.NOT_SENT
BROKEN_STREAM = fakes.Script(break_after=2)
COMPLETE_STREAM = [b"data: %d\n\n" % i for i in range(4)] + [engine.END_MARKER]


@contextlib.asynccontextmanager
async def run_online(*upstreams, **changes):
    kern = kernel.Kernel()
    accepted = fakes.make_manifest(upstreams=len(upstreams), **changes)
    kern.add(fakes.FixedConfiguration(accepted))
    kern.add(fakes.FakeUpstreams(*upstreams))
    kern.add(router.Router(kern, "dar-kariakoo", random.Random(7)))
    service = online.Online(kern)
    kern.add(service)
    async with trio.open_nursery() as nursery:
        await nursery.start(kern.run)
        yield service
        nursery.cancel_scope.cancel()


def request(number=0, **changes):
    fields = {
        "request_id": f"r{number}",
        "team": "clinics",
        "service": "lishe-llm",
        "method": "POST",
        "path": "/v1/completions",
        "body": b"{}",
        "headers": (),
        "rank": 0,
        "deadline_s": trio.current_time() + 10.0,
        "stream": True,
        "idempotent": True,
        "fingerprint": f"f{number}",
    }
    return exchange.Request(**fields | changes)


async def collect_response(service, req):
    async with contextlib.aclosing(service.serve(req)) as parts:
        head = await anext(parts)
        return head.status, [part async for part in parts]


async def test_stream_is_relayed_completely(autojump_clock):
    async with run_online(fakes.ScriptedUpstream("engine-0")) as service:
        status, parts = await collect_response(service, request())
    assert (status, b"".join(parts)) == (200, b"".join(COMPLETE_STREAM))


async def test_aborted_stream_resumes_elsewhere_without_lost_or_repeated_tokens(autojump_clock):
    ups = [fakes.ScriptedUpstream(f"engine-{i}") for i in range(3)]
    scripts = [BROKEN_STREAM, fakes.Script()]
    for up in ups:
        up.scripts = scripts
    async with run_online(*ups) as service:
        status, parts = await collect_response(service, request())
    assert (status, b"".join(parts)) == (200, b"".join(COMPLETE_STREAM))
    assert sorted(call.resume_from for up in ups for call in up.calls) == [0, 2]


# Guards against the body of a refusal behind the events of a stream that goes on elsewhere.
@pytest.mark.parametrize("status", [302, 404, 429])
async def test_stream_that_has_begun_is_not_joined_with_a_refusal(autojump_clock, status):
    refusing = fakes.Script(status=status, body=b'{"error": {}}')
    scripts = [BROKEN_STREAM, refusing, fakes.Script()]
    ups = [fakes.ScriptedUpstream(f"engine-{i}") for i in range(3)]
    for up in ups:
        up.scripts = scripts
    async with run_online(*ups) as service:
        result = await collect_response(service, request())
        assert (result[0], b"".join(result[1])) == (200, b"".join(COMPLETE_STREAM))
        scripts[:] = [BROKEN_STREAM, refusing]
        with pytest.raises(errors.Refusal):
            await collect_response(service, request(1))


async def test_aborted_stream_goes_on_at_its_software_version(autojump_clock):
    ups = [fakes.ScriptedUpstream(f"engine-{i}") for i in range(6)]
    scripts = [BROKEN_STREAM, fakes.Script()]
    for up in ups:
        up.scripts = scripts
    versions = ("v1", "v2") * 3
    async with run_online(*ups, versions=versions) as service:
        for number in range(8):
            scripts[:] = [BROKEN_STREAM, fakes.Script()]
            status, parts = await collect_response(service, request(number))
            assert (status, b"".join(parts)) == (200, b"".join(COMPLETE_STREAM))
    for number in range(8):
        served = {
            version
            for up, version in zip(ups, versions, strict=True)
            if any(call.stream_id.startswith(f"r{number}.") for call in up.calls)
        }
        assert len(served) == 1


async def run_over_versions(*versions):
    """Return what callers get whose streams break off, each version named by the next response.

    A response that isn't broken off ends the stream; the manifest names v1 for all engines.
    """
    scripts = [fakes.Script(break_after=2, version=versions[0])]
    scripts += [fakes.Script(version=version) for version in versions[1:]]
    ups = [fakes.ScriptedUpstream(f"engine-{i}") for i in range(3)]
    for up in ups:
        up.scripts = scripts
    async with run_online(*ups, versions=("v1",)) as service:
        try:
            _, parts = await collect_response(service, request())
        except errors.Refusal:
            parts = []
    return b"".join(parts), len([call for up in ups for call in up.calls])


# Guards against a stream of which two software versions wrote a part each: an engine was replaced
# before the manifest says so.
@pytest.mark.parametrize(
    ("versions", "calls"),
    [(("v1", "v2", "v1"), 3), (("", "v2", ""), 3), (("", "v2", "v1"), 3), (("v1", ""), 2)],
)
async def test_aborted_stream_goes_on_where_the_response_names_its_version(
    autojump_clock, versions, calls
):
    assert await run_over_versions(*versions) == (b"".join(COMPLETE_STREAM), calls)


# Guards against the same where no engine of the version is left.
@pytest.mark.parametrize("versions", [("v1", "v2"), ("v2", "v1"), ("v2", "")])
async def test_aborted_stream_ends_if_each_response_names_another_version(autojump_clock, versions):
    assert (await run_over_versions(*versions))[0] == b""


# Guards against a restart that each stream has to learn of for itself.
async def test_version_that_a_response_names_counts_for_all_streams(autojump_clock):
    ups = [fakes.ScriptedUpstream(f"engine-{i}") for i in range(3)]
    ups[1].scripts = [fakes.Script(version="v2")]
    async with run_online(*ups, versions=("v1",)) as service:
        for number in range(6):
            ups[0].scripts = ups[2].scripts = [BROKEN_STREAM, fakes.Script()]
            _, parts = await collect_response(service, request(number))
            assert b"".join(parts) == b"".join(COMPLETE_STREAM)
    assert len([call for call in ups[1].calls if call.resume_from]) <= 1


async def test_aborted_stream_is_refused_at_once_if_its_software_version_is_gone(autojump_clock):
    ups = [
        fakes.ScriptedUpstream("engine-0", BROKEN_STREAM, fakes.Script(fail=DOWN)),
        fakes.ScriptedUpstream("engine-1"),
    ]
    async with run_online(*ups, versions=("v1", "v2")) as service:
        began_at_s = trio.current_time()
        with pytest.raises(errors.Refusal) as caught:
            await collect_response(service, request())
    assert trio.current_time() - began_at_s < 2.0
    assert caught.value.retry_after_s > 0
    assert ups[1].calls == []


async def test_request_whose_stream_has_not_begun_goes_to_any_software_version(autojump_clock):
    ups = [
        fakes.ScriptedUpstream("engine-0", fakes.Script(fail=DOWN)),
        fakes.ScriptedUpstream("engine-1"),
    ]
    async with run_online(*ups, versions=("v1", "v2")) as service:
        status, parts = await collect_response(service, request())
    assert (status, b"".join(parts)) == (200, b"".join(COMPLETE_STREAM))


async def test_aborted_stream_of_a_non_idempotent_request_has_an_unknown_outcome(autojump_clock):
    ups = [fakes.ScriptedUpstream(f"engine-{i}", BROKEN_STREAM) for i in range(3)]
    async with run_online(*ups) as service:
        with pytest.raises(errors.Refusal) as caught:
            await collect_response(service, request(idempotent=False))
    assert caught.value.code is errors.Code.OUTCOME_UNKNOWN
    assert caught.value.ran is errors.Ran.UNKNOWN
    assert sum(len(up.calls) for up in ups) == 1


async def test_call_that_was_not_sent_is_retried_even_if_not_idempotent(autojump_clock):
    down = fakes.Script(fail=engine.Progress.NOT_SENT)
    ups = [fakes.ScriptedUpstream(f"engine-{i}", down) for i in range(2)]
    ups.append(fakes.ScriptedUpstream("engine-2"))
    async with run_online(*ups) as service:
        status, parts = await collect_response(service, request(idempotent=False))
    assert (status, b"".join(parts)) == (200, b"".join(COMPLETE_STREAM))


@pytest.mark.parametrize("idempotent", [True, False])
async def test_refusal_of_a_request_that_was_never_sent_has_a_retry_time(
    autojump_clock, idempotent
):
    down = fakes.Script(fail=engine.Progress.NOT_SENT)
    async with run_online(fakes.ScriptedUpstream("engine-0", down)) as service:
        with pytest.raises(errors.Refusal) as caught:
            await collect_response(service, request(idempotent=idempotent))
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.code is errors.Code.UNAVAILABLE
    assert caught.value.retry_after_s > 0


async def test_higher_priority_goes_first_and_requests_wait_at_the_gateway(autojump_clock):
    up = fakes.ScriptedUpstream("engine-0")
    finished = []

    async def one(service, number, rank):
        await collect_response(service, request(number, rank=rank))
        finished.append(number)

    async with run_online(up, slots=1) as service, trio.open_nursery() as nursery:
        for number, rank in enumerate((5, 5, 5, 0)):
            nursery.start_soon(one, service, number, rank)
            await trio.sleep(0.001)
    assert finished == [0, 3, 1, 2]


async def test_disconnected_caller_frees_its_permit_and_cancels_its_call(autojump_clock):
    up = fakes.ScriptedUpstream("engine-0", fakes.Script(tokens=1000))
    async with run_online(up, slots=1) as service:
        with trio.move_on_after(0.5):
            await collect_response(service, request(1))
        up.scripts = [fakes.Script()]
        assert (await collect_response(service, request(2)))[0] == 200
    assert up.cancelled == ["r1.0"]


async def test_full_queue_refuses_immediately(autojump_clock):
    slow = fakes.Script(tokens=100)
    policy = fakes.make_manifest().online
    limited = type(policy)(queue_limit=1)
    async with (
        run_online(fakes.ScriptedUpstream("engine-0", slow), slots=1, online=limited) as service,
        trio.open_nursery() as nursery,
    ):
        for number in range(2):
            nursery.start_soon(collect_response, service, request(number))
            await trio.sleep(0.01)
        started_at_s = trio.current_time()
        with pytest.raises(errors.Refusal) as caught:
            await collect_response(service, request(3))
        assert trio.current_time() - started_at_s < 0.05
        assert caught.value.code is errors.Code.OVERLOADED
        assert caught.value.retry_after_s > 0
        nursery.cancel_scope.cancel()


async def test_waiting_request_that_can_no_longer_finish_is_refused_before_its_deadline(
    autojump_clock,
):
    slow = fakes.Script(tokens=100)
    up = fakes.ScriptedUpstream("engine-0", slow)
    async with run_online(up, slots=1) as service, trio.open_nursery() as nursery:
        await collect_response(service, request(1))
        nursery.start_soon(collect_response, service, request(2))
        await trio.sleep(0.01)
        started_at_s = trio.current_time()
        with pytest.raises(errors.Refusal) as caught:
            await collect_response(service, request(3, deadline_s=started_at_s + 1.5))
        assert trio.current_time() - started_at_s < 1.0
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after_s > 0
    assert len(up.calls) == 2


async def test_lower_ranks_leave_a_permit_for_the_top_rank(autojump_clock):
    up = fakes.ScriptedUpstream("engine-0", fakes.Script(tokens=1000))
    async with run_online(up, slots=4) as service, trio.open_nursery() as nursery:
        with trio.move_on_after(0.1):
            await collect_response(service, request(0))
        for number in range(1, 9):
            nursery.start_soon(collect_response, service, request(number, rank=5, deadline_s=1e6))
        await trio.sleep(0.1)
        assert len(up.calls) == 1 + 3
        nursery.start_soon(collect_response, service, request(9))
        await trio.sleep(0.01)
        assert up.calls[-1].stream_id == "r9.0"
        nursery.cancel_scope.cancel()


class FailingUpstream(fakes.ScriptedUpstream):
    """Fails an evenly distributed share of its calls after accepting them."""

    def __init__(self, name, share):
        super().__init__(name)
        self._share, self._failures_due = share, 0.0

    @contextlib.asynccontextmanager
    async def call(self, call):
        self._failures_due += self._share
        failing = self._failures_due >= 1.0
        self._failures_due -= failing
        self.scripts = [fakes.Script(fail=engine.Progress.SENT if failing else None)]
        async with super().call(call) as response:
            yield response


@pytest.mark.parametrize("share", [0.05, 0.2, 0.5, 1.0])
@pytest.mark.parametrize("retry_budget", [0.0, 0.1])
async def test_retries_during_partial_failure_add_at_most_a_fifth_more_calls(
    autojump_clock, share, retry_budget
):
    offered = 200
    ups = [FailingUpstream(f"engine-{i}", share) for i in range(3)]
    policy = fakes.make_manifest().online
    cfg = type(policy)(retry_budget=retry_budget)
    async with run_online(*ups, slots=64, online=cfg) as service:
        for number in range(offered):
            with contextlib.suppress(errors.Refusal):
                await collect_response(service, request(number))
    calls = sum(len(up.calls) for up in ups)
    initial_budget = 10
    assert offered <= calls <= initial_budget + (1 + retry_budget) * offered <= 1.2 * offered
