from cornelgrade import metrics, reports
from cornelgrade.services import team_counts


# Guards against an operator who can't see which team fills the system, and who is refused why.
def test_usage_shows_shares_and_refusals_by_reason():
    usage = team_counts.TeamCounts(metrics.counter("test_team_usage_total", "Test."))
    for _ in range(3):
        usage.record_admission("hot")
    usage.record_admission("small")
    usage.record_refusal("hot", "rate_limited")
    assert usage.report() == (
        reports.TeamReport("hot", 3, 0.75, {"rate_limited": 1}),
        reports.TeamReport("small", 1, 0.25),
    )
