import json

import pytest
import trio
from tests import batch_kit

from cornelgrade.services import job_records, job_submission, ports
from cornelgrade.standins import engine_wire

OK = job_records.OutcomeKind.OK


async def test_job_runs_from_submission_to_readable_results(autojump_clock):
    async with batch_kit.rig() as rig:
        await rig.start_worker("vm1")
        lines = [batch_kit.item_line(number) for number in range(120)]
        accepted = await job_submission.submit(
            rig.store, batch_kit.job_request(), batch_kit.iterate_lines(lines)
        )
        header = await batch_kit.wait_until_ended(rig.store, accepted.header.job)
        outcomes = await batch_kit.read_outcomes(rig.store, header.job)
        assert header.state is job_records.JobState.DONE
        assert header.tally.ok == 120
        assert [outcome.kind for outcome in outcomes] == [OK] * 120
        first = json.loads(outcomes[0].body)
        assert first["choices"][0]["text"] == engine_wire.output("note 0", 8)
        assert set(rig.completions().values()) == {1}
        assert await rig.store.open_jobs() == ()


# Guards against a text of which two software versions wrote a part each, also if the manifest
# doesn't tell them apart, as after an upstream was replaced.
@pytest.mark.parametrize("registered", [("v1", "v2"), ("v1",), ("",)])
async def test_item_that_gives_way_ends_with_the_text_of_one_software_version(
    autojump_clock, registered
):
    fleet_manifest = batch_kit.make_manifest(versions=registered)
    async with batch_kit.rig(fleet_manifest) as rig:
        for number, upstream in enumerate(rig.engines.values()):
            upstream.engine.replace_version(("v1", "v2")[number])
        await rig.start_worker("vm1")
        lines = [batch_kit.item_line(number, tokens=200) for number in range(24)]
        accepted = await job_submission.submit(
            rig.store, batch_kit.job_request(), batch_kit.iterate_lines(lines)
        )
        for busy in ("e0", "e1", "e0", "e1"):
            await trio.sleep(1.0)
            rig.members["vm1"].deliver(ports.Load(busy, 8, 0, "busy-vm"))
        header = await batch_kit.wait_until_ended(rig.store, accepted.header.job)
        outcomes = await batch_kit.read_outcomes(rig.store, header.job)
        counters = [upstream.engine.counters() for upstream in rig.engines.values()]
    assert sum(counted.cancelled_tokens for counted in counters) > 0
    assert [outcome.kind for outcome in outcomes] == [OK] * 24
    for outcome in outcomes:
        text = json.loads(outcome.body)["choices"][0]["text"]
        whole = [
            engine_wire.output(f"note {outcome.index}", 200, software_version=version)
            for version in ("v1", "v2")
        ]
        assert text in whole
