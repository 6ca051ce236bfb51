from bench import edge, fleet, online, workload


def test_online_bench_measures_complete_responses(monkeypatch):
    monkeypatch.setattr(fleet, "fix_schedule", lambda seed: None)
    load = workload.Load(rate_per_s=10.0, duration_s=2.0, families=2)
    run = online.measure(load, seed=1, choice=online.CHOICES["prefix affinity"])
    assert run.samples
    assert not [sample.code for sample in run.samples if sample.code]
    assert 0.0 < run.hit_share < 1.0
    assert all(0.0 < sample.first_s <= sample.total_s for sample in run.samples)


async def test_edge_bench_completes_online_requests_and_batch_items():
    results = await edge.measure(seconds=2.0, rate=15.0, jobs=2, seed=1)
    assert results.first_s
    assert (results.failed, results.items, results.wrong) == (0, 2 * edge.ITEMS, 0)
