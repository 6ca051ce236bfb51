"""Batch jobs submitted to gateways and run by workers."""

import base64
import time

import msgspec
import pytest
import trio

from cornelgrade.adapters import platform
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.schema import messages
from cornelgrade.services.edge import job_repository, job_sweeper, peers, ports


def encode_job(*names: str, tokens: int = 100) -> bytes:
    items = [
        {
            "id": name,
            "path": f"{edge_system.NOTES_PREFIX}{name}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(name.encode()).decode(),
            "tokens": tokens,
        }
        for name in names
    ]
    return msgspec.json.encode({"items": items})


async def submit_job(
    system, job: str, body: bytes, gateway: str = "gateway-0"
) -> edge_system.ReceivedResponse:
    return await system.send(
        gateway, "POST", f"{edge_system.NOTES_PREFIX}{job}", {"x-request-id": job}, body
    )


async def read_page(system, job: str, after: int = 0, gateway: str = "gateway-0") -> dict:
    headers = {"x-wait-ms": "500"}
    got = await system.send(gateway, "GET", f"/lots/{job}?after={after}", headers)
    assert got.status == 200
    return msgspec.json.decode(got.body)


async def read_all_results(system, job: str, gateway: str = "gateway-0") -> list[dict]:
    results: list[dict] = []
    with trio.fail_after(10):
        while True:
            page = await read_page(system, job, len(results), gateway)
            results += page["results"]
            assert page["next"] == len(results)
            if len(results) == page["total"]:
                return results


def expected_text(name: str, events: int = 5) -> str:
    return "\n".join(f"{name}-{number}" for number in range(1, events + 1))


async def test_each_item_completes_once_and_keeps_its_position_at_every_gateway():
    names = [f"item-{number}" for number in range(20)]
    async with edge_system.run_system(gateways=2, workers=3, engines=3) as system:
        assert (await submit_job(system, "job-1", encode_job(*names))).status == 202
        first = await read_all_results(system, "job-1", "gateway-0")
        second = await read_all_results(system, "job-1", "gateway-1")
    assert first == second
    assert sorted(r["id"] for r in first) == sorted(names)
    assert all(r["state"] == "completed" and r["text"] == expected_text(r["id"]) for r in first)


async def test_repeated_submission_is_accepted_without_running_items_again():
    async with edge_system.run_system(gateways=2, workers=1) as system:
        await submit_job(system, "job-1", encode_job("a"))
        await read_all_results(system, "job-1")
        again = await submit_job(system, "job-1", encode_job("a"), "gateway-1")
        await trio.sleep(0.3)
        runs = len(system.engines["engine-0"].seen)
    assert again.status == 202
    assert runs == 1


async def test_item_resumes_after_its_last_event_when_a_run_breaks():
    async with edge_system.run_system(workers=1) as system:
        engine = system.engines["engine-0"]
        engine.faults = stream_engine.Faults(cut_after=3)
        await submit_job(system, "job-1", encode_job("a"))
        with trio.fail_after(3):
            while not engine.seen:
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        engine.faults = stream_engine.Faults()
        results = await read_all_results(system, "job-1")
    assert results[0]["text"] == expected_text("a")
    assert engine.seen[-1].resumed_after == 3


@pytest.mark.parametrize(("status", "runs"), [(422, 1), (500, 3)])
async def test_failing_item_is_given_up(status, runs):
    async with edge_system.run_system(workers=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(fail=status)
        await submit_job(system, "job-1", encode_job("a"))
        results = await read_all_results(system, "job-1")
        assert len(system.engines["engine-0"].seen) == runs
    assert results == [{"id": "a", "state": "dead_letter", "text": ""}]


async def test_ending_a_job_stops_its_items():
    async with edge_system.run_system(workers=1, events=500) as system:
        engine = system.engines["engine-0"]
        await submit_job(system, "job-1", encode_job("a", "b", "c"))
        with trio.fail_after(3):
            while not engine.running:
                await trio.sleep(0.01)
        got = await system.send("gateway-0", "DELETE", "/lots/job-1", {})
        again = await system.send("gateway-0", "DELETE", "/lots/job-1", {})
        with trio.fail_after(1):
            while engine.running:
                await trio.sleep(0.01)
        runs = len(engine.seen)
        await trio.sleep(0.3)
    assert (got.status, again.status) == (200, 200)
    assert len(engine.seen) == runs


async def test_item_body_is_returned():
    async with edge_system.run_system() as system:
        await submit_job(system, "job-1", encode_job("a", "b"))
        got = await system.send("gateway-0", "GET", "/items/job-1?id=b", {})
        missing = await system.send("gateway-0", "GET", "/items/job-1?id=z", {})
    assert (got.status, got.body) == (200, b"b")
    assert missing.status == 404


async def test_unknown_job_is_not_found():
    async with edge_system.run_system() as system:
        got = await system.send("gateway-0", "GET", "/lots/none?after=0", {})
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
        encode_job("a", "a"),
        encode_job(*(f"i{n}" for n in range(201))),
    ],
)
async def test_malformed_job_is_rejected_and_not_stored(body):
    async with edge_system.run_system() as system:
        got = await submit_job(system, "job-1", body)
        kept = await system.send("gateway-0", "GET", "/lots/job-1?after=0", {})
    assert (got.status, kept.status) == (400, 404)


async def test_jobs_over_the_token_limit_are_refused_with_retry_after():
    async with edge_system.run_system() as system:
        await system.plan(edge_system.make_plan(version=2, waiting_tokens=250))
        await trio.sleep(0.2)
        statuses = [
            (await submit_job(system, f"job-{n}", encode_job("a"))).status for n in range(3)
        ]
        refused = await submit_job(system, "job-9", encode_job("a"))
        repeat = await submit_job(system, "job-0", encode_job("a"))
    assert statuses == [202, 202, 429]
    assert float(refused.headers["retry-after"]) > 0
    assert repeat.status == 202


async def test_job_calls_get_503_while_the_store_is_unavailable():
    async with edge_system.run_system() as system:
        await submit_job(system, "job-1", encode_job("a"))
        edge_system.set_outage(system.store, down=True)
        got = await submit_job(system, "job-2", encode_job("b"))
        unsure = await system.send("gateway-0", "GET", "/lots/job-2?after=0", {})
        edge_system.set_outage(system.store, down=False)
        missing = await system.send("gateway-0", "GET", "/lots/job-2?after=0", {})
    assert (got.status, unsure.status, missing.status) == (503, 503, 404)


async def test_results_produced_during_a_store_outage_are_listed_after_it():
    async with edge_system.run_system(workers=1, events=20) as system:
        await submit_job(system, "job-1", encode_job("a", "b"))
        with trio.fail_after(3):
            while len(system.engines["engine-0"].seen) < 2:
                await trio.sleep(0.01)
        edge_system.set_outage(system.store, down=True)
        await trio.sleep(0.6)
        edge_system.set_outage(system.store, down=False)
        results = await read_all_results(system, "job-1")
        runs = len(system.engines["engine-0"].seen)
    assert sorted(r["id"] for r in results) == ["a", "b"]
    assert runs == 2


async def test_another_worker_finishes_the_items_of_a_killed_one():
    async with edge_system.run_system(workers=2, engines=2, events=50) as system:
        await submit_job(system, "job-1", encode_job(*(f"i{n}" for n in range(6))))
        with trio.fail_after(3):
            while not all(engine.running for engine in system.engines.values()):
                await trio.sleep(0.01)
        system.nodes["worker-0"].scope.cancel()
        results = await read_all_results(system, "job-1")
    assert sorted(r["id"] for r in results) == [f"i{n}" for n in range(6)]
    assert all(r["text"] == expected_text(r["id"], 50) for r in results)


async def test_online_requests_preempt_batch_items():
    async with edge_system.run_system(workers=1, slots=4, events=40, event_s=0.02) as system:
        engine = system.engines["engine-0"]
        await submit_job(system, "job-1", encode_job(*(f"i{n}" for n in range(12))))
        with trio.fail_after(3):
            while engine.running < 3:
                await trio.sleep(0.01)
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(
                    system.send_online, "gateway-0", edge_system.ONCE_PREFIX, f"r{number}"
                )
        took_s = trio.current_time() - started_s
        preempted = [
            seen for seen in engine.seen if seen.request.startswith("i") and seen.cancelled
        ]
    assert took_s < 40 * 0.02 + 0.5
    assert preempted


async def test_retired_worker_finishes_its_items_and_reports_done():
    async with edge_system.run_system(workers=2, engines=2, events=30) as system:
        await submit_job(system, "job-1", encode_job(*(f"i{n}" for n in range(6))))
        await trio.sleep(0.1)
        await system.store.create(system.retirements.kind, "worker-0", b"{}")
        results = await read_all_results(system, "job-1")
        with trio.fail_after(8):
            while len(system.retirements.reported) < 2:
                await trio.sleep(0.05)
    done = edge_system.ports.RetirementState.DONE
    assert system.retirements.reported[-1] == ("worker-0", done)
    assert sorted(r["id"] for r in results) == [f"i{n}" for n in range(6)]


async def test_another_worker_reports_for_an_unresponsive_retired_one():
    async with edge_system.run_system(workers=2) as system:
        system.nodes["worker-0"].scope.cancel()
        await system.store.create(system.retirements.kind, "worker-0", b"{}")
        with trio.fail_after(8):
            while not system.retirements.reported:
                await trio.sleep(0.05)
    assert system.retirements.reported == [("worker-0", edge_system.ports.RetirementState.DONE)]


async def test_rereading_a_complete_job_does_not_call_the_store():
    async with edge_system.run_system(workers=1) as system:
        await submit_job(system, "job-1", encode_job("a", "b"))
        await read_all_results(system, "job-1")
        kind = "cornelgrade-results-job-1"
        before = system.store.calls[f"watch:{kind}"]
        for after in (0, 1, 2, 2, 5):
            page = await read_page(system, "job-1", after)
            assert page["next"] == max(after, 2)
        assert system.store.calls[f"watch:{kind}"] == before


async def test_concurrent_jobs_at_several_gateways_stay_within_the_token_limit():
    async with edge_system.run_system(gateways=3) as system:
        await system.plan(edge_system.make_plan(version=2, waiting_tokens=250))
        await trio.sleep(0.2)
        statuses: list[int] = []

        async def send(number: int) -> None:
            got = await submit_job(
                system, f"job-{number}", encode_job("a"), f"gateway-{number % 3}"
            )
            statuses.append(got.status)

        async with trio.open_nursery() as nursery:
            for number in range(9):
                nursery.start_soon(send, number)
    assert statuses.count(202) <= 2
    assert set(statuses) == {202, 429}


async def test_refused_job_runs_no_items():
    async with edge_system.run_system(workers=1) as system:
        await system.plan(edge_system.make_plan(version=2, waiting_tokens=150))
        await trio.sleep(0.2)
        assert (await submit_job(system, "job-1", encode_job("a", tokens=200))).status == 429
        await trio.sleep(0.3)
        assert system.engines["engine-0"].seen == []
        got = await system.send("gateway-0", "GET", "/lots/job-1?after=0", {})
    assert got.status == 404


async def test_job_is_deleted_after_its_retention(monkeypatch):
    monkeypatch.setattr(job_sweeper, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(job_sweeper, "RETENTION_MARGIN_S", -119.0)
    async with edge_system.run_system(workers=2) as system:
        await submit_job(system, "job-1", encode_job("a", "b"))
        await read_all_results(system, "job-1")
        with trio.fail_after(5):
            while await system.store.list("cornelgrade-jobs"):
                await trio.sleep(0.05)
        remaining = [
            await system.store.list(k) for k in ("cornelgrade-inputs", "cornelgrade-results-job-1")
        ]
    assert remaining == [(), ()]


async def test_open_job_is_kept_regardless_of_its_age(monkeypatch):
    monkeypatch.setattr(job_sweeper, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(job_sweeper, "RETENTION_MARGIN_S", -119.9)
    async with edge_system.run_system(workers=1, engines=1, events=100) as system:
        await system.plan(edge_system.make_plan(version=2, waiting_tokens=250))
        await trio.sleep(0.2)
        await submit_job(system, "job-1", encode_job("a"))
        await trio.sleep(0.8)
        kept = await system.store.list("cornelgrade-inputs")
        monkeypatch.setattr(job_sweeper, "RETENTION_MARGIN_S", 60.0)
        results = await read_all_results(system, "job-1")
    assert len(kept) == 1
    assert results[0]["text"] == expected_text("a", 100)


async def test_modified_job_is_not_deleted():
    async with edge_system.run_system() as system:
        await submit_job(system, "job-1", encode_job("a"))
        repository = job_repository.JobRepository(system.store, 100_000)
        stored_header = await repository.find_job("job-1")
        await repository.close_job(stored_header, "ended")
        with pytest.raises(platform.ConflictError):
            await repository.delete_job(stored_header)
        assert await system.store.list("cornelgrade-inputs")


async def test_declined_job_is_accepted_on_resubmission_once_it_fits():
    async with edge_system.run_system(workers=1, events=40) as system:
        await system.plan(edge_system.make_plan(version=2, waiting_tokens=150))
        await trio.sleep(0.2)
        first = await submit_job(system, "job-1", encode_job("a"))
        declined = await submit_job(system, "job-2", encode_job("b"))
        unknown = await system.send("gateway-0", "GET", "/items/job-2?id=b", {})
        await read_all_results(system, "job-1")
        with trio.fail_after(5):
            while (await submit_job(system, "job-2", encode_job("b"))).status != 202:
                await trio.sleep(0.05)
        results = await read_all_results(system, "job-2")
    assert (first.status, declined.status, unknown.status) == (202, 429, 404)
    assert [r["id"] for r in results] == ["b"]


async def test_preempted_item_resumes_at_its_worker_and_restarts_nowhere():
    engine_options = {"slots": 2, "events": 60, "event_s": 0.01}
    async with edge_system.run_system(gateways=2, workers=2, engines=2, **engine_options) as system:
        names = [f"i{n}" for n in range(6)]
        await submit_job(system, "job-1", encode_job(*names))
        for wave in range(3):
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    request = f"r{wave}-{number}"
                    nursery.start_soon(
                        system.send_online,
                        f"gateway-{number % 2}",
                        edge_system.ONCE_PREFIX,
                        request,
                    )
        results = await read_all_results(system, "job-1")
        runs = [s for engine in system.engines.values() for s in engine.seen]
    started_items = [
        run.request for run in runs if run.request in names and run.resumed_after is None
    ]
    assert sorted(started_items) == names
    assert any(run.resumed_after for run in runs if run.request in names)
    assert all(r["text"] == expected_text(r["id"], 60) for r in results)


@pytest.mark.parametrize("bound", [0, 10_000])
async def test_declined_job_runs_on_resubmission_when_no_reservation_is_needed(bound):
    async with edge_system.run_system(workers=1) as system:
        repository = job_repository.JobRepository(system.store, 100_000)
        items = (ports.Item("a", f"{edge_system.NOTES_PREFIX}a", (), b"a", 100),)
        now_ms = int(time.time() * 1000)
        times = (now_ms, now_ms + 60_000, now_ms + 600_000)
        header = job_repository.JobHeader(
            "job-1", "notes", edge_system.HOST, *times, 1, 100, 0, "reserved"
        )
        await repository.decline_job(await repository.create_job(header, items))
        await system.plan(edge_system.make_plan(version=2, waiting_tokens=bound))
        await trio.sleep(0.2)
        again = await submit_job(system, "job-1", encode_job("a"))
        results = await read_all_results(system, "job-1")
    assert again.status == 202
    assert [r["text"] for r in results] == [expected_text("a")]


class PagedStore:
    """Returns scripted watch responses; each result is given as its index and creation revision."""

    def __init__(self, *script: tuple[int, list[tuple[int, int]]]) -> None:
        self._script = list(script)

    async def watch(self, kind, prefix="", after=0, wait_s=0.0):
        version, stored_header = self._script.pop(0)
        items = tuple(
            platform.StoredObject(
                kind,
                f"{index:05d}",
                created,
                msgspec.json.encode({"item": f"i{index}", "end": "completed", "text": ""}),
                "",
                created,
            )
            for index, created in stored_header
        )
        return platform.Changes(version, items)


async def test_result_written_between_two_pages_of_a_list_has_one_position():
    # The first page is read at version 10. The second page includes the result created at 12, but
    # not the one created at 11, whose name belongs on the first page.
    listed = (10, [(4, 9), (7, 12)])
    watched = (12, [(2, 11), (7, 12)])
    repository = job_repository.JobRepository(PagedStore(listed, watched), 1000)
    first, version, _ = await repository.list_results("j", 0, 0.0)
    then, _, _ = await repository.list_results("j", version, 0.0)
    assert [entry.index for entry in (*first, *then)] == [4, 2, 7]


async def test_unchanged_claims_are_not_resent_on_each_load_change(monkeypatch):
    sent_claims: list[messages.JobClaims] = []
    async with edge_system.run_system(gateways=1, workers=2, engines=1, events=60) as system:
        await submit_job(system, "job-1", encode_job("a"))
        with trio.fail_after(3):
            while not system.engines["engine-0"].running:
                await trio.sleep(0.01)
        await trio.sleep(0.1)
        for name in ("worker-0", "worker-1"):
            peer_service = system.nodes[name].kern.find("peers", peers.Peers)
            monkeypatch.setattr(
                peer_service, "send", recording_claims(peer_service.send, sent_claims)
            )
        for number in range(12):
            system.nursery.start_soon(
                system.send_online, "gateway-0", edge_system.ONCE_PREFIX, f"r{number}"
            )
            await trio.sleep(0.03)
    # Each of the two workers resends its claims once per broadcast interval of 0.25 s.
    assert 0 < len(sent_claims) <= 6


def recording_claims(send, sent_claims: list):
    def record_and_send(vm, body):
        if isinstance(body, messages.JobClaims):
            sent_claims.append(body)
        send(vm, body)

    return record_and_send
