"""Batch jobs through gateways and workers."""

import base64
import time

import msgspec
import pytest
import trio

from cornelgrade.adapters import platform
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.schema import messages
from cornelgrade.services.edge import job_repository, job_sweeper, peers, ports


def a_job(*names: str, tokens: int = 100) -> bytes:
    items = [
        {
            "id": name,
            "path": f"{edge_system.NOTES}{name}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(name.encode()).decode(),
            "tokens": tokens,
        }
        for name in names
    ]
    return msgspec.json.encode({"items": items})


async def submit(rig, job: str, body: bytes, gateway: str = "gateway-0") -> edge_system.Answer:
    return await rig.send(gateway, "POST", f"{edge_system.NOTES}{job}", {"x-request-id": job}, body)


async def read(rig, job: str, after: int = 0, gateway: str = "gateway-0") -> dict:
    headers = {"x-wait-ms": "500"}
    got = await rig.send(gateway, "GET", f"/lots/{job}?after={after}", headers)
    assert got.status == 200
    return msgspec.json.decode(got.body)


async def read_all(rig, job: str, gateway: str = "gateway-0") -> list[dict]:
    results: list[dict] = []
    with trio.fail_after(10):
        while True:
            page = await read(rig, job, len(results), gateway)
            results += page["results"]
            assert page["next"] == len(results)
            if len(results) == page["total"]:
                return results


def text(name: str, events: int = 5) -> str:
    return "\n".join(f"{name}-{number}" for number in range(1, events + 1))


async def test_each_item_completes_once_and_keeps_its_position_at_every_gateway():
    names = [f"item-{number}" for number in range(20)]
    async with edge_system.running(gateways=2, workers=3, engines=3) as rig:
        assert (await submit(rig, "job-1", a_job(*names))).status == 202
        first = await read_all(rig, "job-1", "gateway-0")
        second = await read_all(rig, "job-1", "gateway-1")
    assert first == second
    assert sorted(r["id"] for r in first) == sorted(names)
    assert all(r["state"] == "completed" and r["text"] == text(r["id"]) for r in first)


async def test_repeat_of_a_job_is_accepted_and_runs_nothing_again():
    async with edge_system.running(gateways=2, workers=1) as rig:
        await submit(rig, "job-1", a_job("a"))
        await read_all(rig, "job-1")
        again = await submit(rig, "job-1", a_job("a"), "gateway-1")
        await trio.sleep(0.3)
        runs = len(rig.engines["engine-0"].seen)
    assert again.status == 202
    assert runs == 1


async def test_item_goes_on_behind_its_last_event_after_a_broken_run():
    async with edge_system.running(workers=1) as rig:
        engine = rig.engines["engine-0"]
        engine.faults = stream_engine.Faults(cut_after=3)
        await submit(rig, "job-1", a_job("a"))
        with trio.fail_after(3):
            while not engine.seen:
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        engine.faults = stream_engine.Faults()
        results = await read_all(rig, "job-1")
    assert results[0]["text"] == text("a")
    assert engine.seen[-1].resumed_after == 3


@pytest.mark.parametrize(("status", "runs"), [(422, 1), (500, 3)])
async def test_item_that_cant_be_done_is_given_up(status, runs):
    async with edge_system.running(workers=1) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(fail=status)
        await submit(rig, "job-1", a_job("a"))
        results = await read_all(rig, "job-1")
        assert len(rig.engines["engine-0"].seen) == runs
    assert results == [{"id": "a", "state": "dead_letter", "text": ""}]


async def test_ended_job_stops():
    async with edge_system.running(workers=1, events=500) as rig:
        engine = rig.engines["engine-0"]
        await submit(rig, "job-1", a_job("a", "b", "c"))
        with trio.fail_after(3):
            while not engine.running:
                await trio.sleep(0.01)
        got = await rig.send("gateway-0", "DELETE", "/lots/job-1", {})
        again = await rig.send("gateway-0", "DELETE", "/lots/job-1", {})
        with trio.fail_after(1):
            while engine.running:
                await trio.sleep(0.01)
        runs = len(engine.seen)
        await trio.sleep(0.3)
    assert (got.status, again.status) == (200, 200)
    assert len(engine.seen) == runs


async def test_body_of_an_item_is_given_back():
    async with edge_system.running() as rig:
        await submit(rig, "job-1", a_job("a", "b"))
        got = await rig.send("gateway-0", "GET", "/items/job-1?id=b", {})
        missing = await rig.send("gateway-0", "GET", "/items/job-1?id=z", {})
    assert (got.status, got.body) == (200, b"b")
    assert missing.status == 404


async def test_unknown_job_is_not_found():
    async with edge_system.running() as rig:
        got = await rig.send("gateway-0", "GET", "/lots/none?after=0", {})
    assert got.status == 404


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b'{"items":[]}',
        b'{"items":[{"id":"a","path":"/x","body":"!!!","tokens":1}]}',
        b'{"items":[{"id":"a","path":"x","body":"","tokens":1}]}',
        b'{"items":[{"id":"a","path":"/notes/\xc3\xa9","body":"","tokens":1}]}',
        b'{"items":[{"id":"a","path":"/a b","body":"","tokens":1}]}',
        b'{"items":[{"id":"a\\nb","path":"/a","body":"","tokens":1}]}',
        b'{"items":[{"id":"a","path":"/a","headers":{"x":"a\\r\\nb"},"body":"","tokens":1}]}',
        b'{"items":[{"id":"a","path":"/a","headers":{"x y":"a"},"body":"","tokens":1}]}',
        b'{"items":[{"id":"a","path":"/a","headers":{"x":"\xe4\xb8\xad"},"body":"","tokens":1}]}',
        a_job("a", "a"),
        a_job(*(f"i{n}" for n in range(201))),
    ],
)
async def test_job_that_cant_be_read_is_refused_and_nothing_is_kept(body):
    async with edge_system.running() as rig:
        got = await submit(rig, "job-1", body)
        kept = await rig.send("gateway-0", "GET", "/lots/job-1?after=0", {})
    assert (got.status, kept.status) == (400, 404)


async def test_jobs_over_the_waiting_tokens_are_refused_with_a_time_to_come_back():
    async with edge_system.running() as rig:
        await rig.plan(edge_system.a_plan(version=2, waiting_tokens=250))
        await trio.sleep(0.2)
        statuses = [(await submit(rig, f"job-{n}", a_job("a"))).status for n in range(3)]
        refused = await submit(rig, "job-9", a_job("a"))
        repeat = await submit(rig, "job-0", a_job("a"))
    assert statuses == [202, 202, 429]
    assert float(refused.headers["retry-after"]) > 0
    assert repeat.status == 202


async def test_job_is_refused_as_not_run_while_the_store_is_away_and_readers_are_told_so():
    async with edge_system.running() as rig:
        await submit(rig, "job-1", a_job("a"))
        edge_system.outage(rig.store, down=True)
        got = await submit(rig, "job-2", a_job("b"))
        unsure = await rig.send("gateway-0", "GET", "/lots/job-2?after=0", {})
        edge_system.outage(rig.store, down=False)
        missing = await rig.send("gateway-0", "GET", "/lots/job-2?after=0", {})
    assert (got.status, unsure.status, missing.status) == (503, 503, 404)


async def test_results_made_in_an_outage_are_listed_after_it():
    async with edge_system.running(workers=1, events=20) as rig:
        await submit(rig, "job-1", a_job("a", "b"))
        with trio.fail_after(3):
            while len(rig.engines["engine-0"].seen) < 2:
                await trio.sleep(0.01)
        edge_system.outage(rig.store, down=True)
        await trio.sleep(0.6)
        edge_system.outage(rig.store, down=False)
        results = await read_all(rig, "job-1")
        runs = len(rig.engines["engine-0"].seen)
    assert sorted(r["id"] for r in results) == ["a", "b"]
    assert runs == 2


async def test_another_worker_finishes_what_a_killed_one_left():
    async with edge_system.running(workers=2, engines=2, events=50) as rig:
        await submit(rig, "job-1", a_job(*(f"i{n}" for n in range(6))))
        with trio.fail_after(3):
            while not all(engine.running for engine in rig.engines.values()):
                await trio.sleep(0.01)
        rig.nodes["worker-0"].scope.cancel()
        results = await read_all(rig, "job-1")
    assert sorted(r["id"] for r in results) == [f"i{n}" for n in range(6)]
    assert all(r["text"] == text(r["id"], 50) for r in results)


async def test_online_requests_do_not_wait_behind_batch():
    async with edge_system.running(workers=1, slots=4, events=40, event_s=0.02) as rig:
        engine = rig.engines["engine-0"]
        await submit(rig, "job-1", a_job(*(f"i{n}" for n in range(12))))
        with trio.fail_after(3):
            while engine.running < 3:
                await trio.sleep(0.01)
        begun_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(rig.ask, "gateway-0", edge_system.ONCE, f"r{number}")
        took_s = trio.current_time() - begun_s
        cut = [seen for seen in engine.seen if seen.request.startswith("i") and seen.cancelled]
    assert took_s < 40 * 0.02 + 0.5
    assert cut


async def test_worker_that_is_to_be_emptied_ends_its_items_and_says_so():
    async with edge_system.running(workers=2, engines=2, events=30) as rig:
        await submit(rig, "job-1", a_job(*(f"i{n}" for n in range(6))))
        await trio.sleep(0.1)
        await rig.store.create(rig.retirements.kind, "worker-0", b"{}")
        results = await read_all(rig, "job-1")
        with trio.fail_after(8):
            while len(rig.retirements.told) < 2:
                await trio.sleep(0.05)
    done = edge_system.ports.RetirementState.DONE
    assert rig.retirements.told[-1] == ("worker-0", done)
    assert sorted(r["id"] for r in results) == [f"i{n}" for n in range(6)]


async def test_silent_worker_that_is_to_be_emptied_is_spoken_for():
    async with edge_system.running(workers=2) as rig:
        rig.nodes["worker-0"].scope.cancel()
        await rig.store.create(rig.retirements.kind, "worker-0", b"{}")
        with trio.fail_after(8):
            while not rig.retirements.told:
                await trio.sleep(0.05)
    assert rig.retirements.told == [("worker-0", edge_system.ports.RetirementState.DONE)]


async def test_reading_a_complete_job_again_asks_the_store_nothing():
    async with edge_system.running(workers=1) as rig:
        await submit(rig, "job-1", a_job("a", "b"))
        await read_all(rig, "job-1")
        kind = "cornelgrade-results-job-1"
        before = rig.store.calls[f"watch:{kind}"]
        for after in (0, 1, 2, 2, 5):
            page = await read(rig, "job-1", after)
            assert page["next"] == max(after, 2)
        assert rig.store.calls[f"watch:{kind}"] == before


async def test_jobs_that_come_at_once_at_several_gateways_stay_within_the_bound_together():
    async with edge_system.running(gateways=3) as rig:
        await rig.plan(edge_system.a_plan(version=2, waiting_tokens=250))
        await trio.sleep(0.2)
        statuses: list[int] = []

        async def send(number: int) -> None:
            got = await submit(rig, f"job-{number}", a_job("a"), f"gateway-{number % 3}")
            statuses.append(got.status)

        async with trio.open_nursery() as nursery:
            for number in range(9):
                nursery.start_soon(send, number)
    assert statuses.count(202) <= 2
    assert set(statuses) == {202, 429}


async def test_job_that_was_refused_runs_nothing():
    async with edge_system.running(workers=1) as rig:
        await rig.plan(edge_system.a_plan(version=2, waiting_tokens=150))
        await trio.sleep(0.2)
        assert (await submit(rig, "job-1", a_job("a", tokens=200))).status == 429
        await trio.sleep(0.3)
        assert rig.engines["engine-0"].seen == []
        got = await rig.send("gateway-0", "GET", "/lots/job-1?after=0", {})
    assert got.status == 404


async def test_job_is_forgotten_when_its_retention_is_over(monkeypatch):
    monkeypatch.setattr(job_sweeper, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(job_sweeper, "RETENTION_MARGIN_S", -119.0)
    async with edge_system.running(workers=2) as rig:
        await submit(rig, "job-1", a_job("a", "b"))
        await read_all(rig, "job-1")
        with trio.fail_after(5):
            while await rig.store.list("cornelgrade-jobs"):
                await trio.sleep(0.05)
        left = [
            await rig.store.list(k) for k in ("cornelgrade-inputs", "cornelgrade-results-job-1")
        ]
    assert left == [(), ()]


async def test_open_job_is_kept_however_old_it_is(monkeypatch):
    monkeypatch.setattr(job_sweeper, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(job_sweeper, "RETENTION_MARGIN_S", -119.9)
    async with edge_system.running(workers=1, engines=1, events=100) as system:
        await system.plan(edge_system.a_plan(version=2, waiting_tokens=250))
        await trio.sleep(0.2)
        await submit(system, "job-1", a_job("a"))
        await trio.sleep(0.8)
        kept = await system.store.list("cornelgrade-inputs")
        monkeypatch.setattr(job_sweeper, "RETENTION_MARGIN_S", 60.0)
        results = await read_all(system, "job-1")
    assert len(kept) == 1
    assert results[0]["text"] == text("a", 100)


async def test_job_that_has_changed_is_not_forgotten():
    async with edge_system.running() as system:
        await submit(system, "job-1", a_job("a"))
        book = job_repository.JobRepository(system.store, 100_000)
        found = await book.find_job("job-1")
        await book.close_job(found, "ended")
        with pytest.raises(platform.ConflictError):
            await book.delete_job(found)
        assert await system.store.list("cornelgrade-inputs")


async def test_job_that_was_declined_is_accepted_when_it_comes_again_and_fits():
    async with edge_system.running(workers=1, events=40) as system:
        await system.plan(edge_system.a_plan(version=2, waiting_tokens=150))
        await trio.sleep(0.2)
        first = await submit(system, "job-1", a_job("a"))
        declined = await submit(system, "job-2", a_job("b"))
        unknown = await system.send("gateway-0", "GET", "/items/job-2?id=b", {})
        await read_all(system, "job-1")
        with trio.fail_after(5):
            while (await submit(system, "job-2", a_job("b"))).status != 202:
                await trio.sleep(0.05)
        results = await read_all(system, "job-2")
    assert (first.status, declined.status, unknown.status) == (202, 429, 404)
    assert [r["id"] for r in results] == ["b"]


async def test_item_that_gave_way_goes_on_where_its_events_are_and_begins_nowhere_else():
    shape = {"slots": 2, "events": 60, "event_s": 0.01}
    async with edge_system.running(gateways=2, workers=2, engines=2, **shape) as system:
        names = [f"i{n}" for n in range(6)]
        await submit(system, "job-1", a_job(*names))
        for wave in range(3):
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    request = f"r{wave}-{number}"
                    nursery.start_soon(
                        system.ask, f"gateway-{number % 2}", edge_system.ONCE, request
                    )
        results = await read_all(system, "job-1")
        runs = [s for engine in system.engines.values() for s in engine.seen]
    begun = [run.request for run in runs if run.request in names and run.resumed_after is None]
    assert sorted(begun) == names
    assert any(run.resumed_after for run in runs if run.request in names)
    assert all(r["text"] == text(r["id"], 60) for r in results)


@pytest.mark.parametrize("bound", [0, 10_000])
async def test_job_that_was_declined_runs_when_it_comes_again_and_there_is_ample_room(bound):
    async with edge_system.running(workers=1) as system:
        book = job_repository.JobRepository(system.store, 100_000)
        items = (ports.Item("a", f"{edge_system.NOTES}a", (), b"a", 100),)
        now_ms = int(time.time() * 1000)
        times = (now_ms, now_ms + 60_000, now_ms + 600_000)
        header = job_repository.JobHeader(
            "job-1", "notes", edge_system.HOST, *times, 1, 100, 0, "reserved"
        )
        await book.decline_job(await book.create_job(header, items))
        await system.plan(edge_system.a_plan(version=2, waiting_tokens=bound))
        await trio.sleep(0.2)
        again = await submit(system, "job-1", a_job("a"))
        results = await read_all(system, "job-1")
    assert again.status == 202
    assert [r["text"] for r in results] == [text("a")]


class PagedStore:
    """Answers watches from a script of results, given by index and creation."""

    def __init__(self, *script: tuple[int, list[tuple[int, int]]]) -> None:
        self._script = list(script)

    async def watch(self, kind, prefix="", after=0, wait_s=0.0):
        version, found = self._script.pop(0)
        items = tuple(
            platform.Stored(
                kind,
                f"{index:05d}",
                created,
                msgspec.json.encode({"item": f"i{index}", "end": "completed", "text": ""}),
                "",
                created,
            )
            for index, created in found
        )
        return platform.Changes(version, items)


async def test_result_written_between_two_pages_of_a_list_keeps_its_one_position():
    # The list's first page is of version 10; the second shows what was written later, and 11 is
    # missing since it lies on the first page.
    listed = (10, [(4, 9), (7, 12)])
    watched = (12, [(2, 11), (7, 12)])
    book = job_repository.JobRepository(PagedStore(listed, watched), 1000)
    first, version, _ = await book.list_results("j", 0, 0.0)
    then, _, _ = await book.list_results("j", version, 0.0)
    assert [entry.index for entry in (*first, *then)] == [4, 2, 7]


async def test_claims_that_did_not_change_are_not_told_again_at_each_change_of_load(monkeypatch):
    told: list[messages.JobClaims] = []
    async with edge_system.running(gateways=1, workers=2, engines=1, events=60) as rig:
        await submit(rig, "job-1", a_job("a"))
        with trio.fail_after(3):
            while not rig.engines["engine-0"].running:
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        for name in ("worker-0", "worker-1"):
            known = rig.nodes[name].kern.find("peers", peers.Peers)
            monkeypatch.setattr(known, "send", counting(known.send, told))
        for number in range(12):
            rig.nursery.start_soon(rig.ask, "gateway-0", edge_system.ONCE, f"r{number}")
            await trio.sleep(0.03)
    # Two workers refresh their claims each quarter of a second at the least.
    assert 0 < len(told) <= 6


def counting(send, told: list):
    def sent(vm, body):
        if isinstance(body, messages.JobClaims):
            told.append(body)
        send(vm, body)

    return sent
