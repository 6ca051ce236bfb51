import json

from tests import batch_kit

from cornelgrade.services import job_records, job_submission
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
