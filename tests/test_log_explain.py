"""Explanations of an outcome from collected log lines."""

import pytest

from cornelgrade import cli, log_explain


def line(second: int, vm: str, **pairs: str) -> str:
    written = " ".join(f"{k}={v}" for k, v in pairs.items())
    return f"time=2026-12-04T00:00:{second:02d}.000000Z level=INFO service=s {written} vm={vm}"


REFUSED = line(10, "g1", event="request", request="r1", outcome="unavailable", upstream='""')
MISSING = line(8, "g1", event="upstream_missing", upstream="e1")
LOST = line(7, "g1", event="store_lost", kind="servers", error='"watch: said \\"no\\""')
OTHER_VM = line(8, "g2", event="store_lost", kind="servers")
LONG_AGO = line(1, "g1", event="store_lost", kind="servers")


def test_refused_request_shows_what_its_process_lost_before():
    explanation = log_explain.explain_subject([REFUSED, LONG_AGO, OTHER_VM, LOST, MISSING], "r1")
    assert [entry.text for entry in explanation.own] == [REFUSED]
    assert [entry.text for entry in explanation.around] == [LOST, MISSING]
    assert explanation.around[0].pairs["error"] == 'watch: said "no"'
    assert "upstream_missing" in explanation.cause


def test_failed_request_counts_other_failures_at_its_upstream():
    own = line(10, "g1", event="attempt_failed", request="r1", upstream="e1")
    end = line(11, "g1", event="request", request="r1", upstream="e1", outcome="upstream_failed")
    near = line(10, "g2", event="attempt_failed", request="r2", upstream="e1")
    far = line(10, "g2", event="attempt_failed", request="r3", upstream="e2")
    suspect = line(10, "g1", event="upstream_suspect", upstream="e1")
    explanation = log_explain.explain_subject([own, end, near, far, suspect], "r1")
    assert (len(explanation.own), len(explanation.around), explanation.elsewhere) == (2, 1, 1)


# Guards against a refusal whose cause lies in requests of other texts.
def test_request_refused_for_a_shared_part_shows_the_crashes_of_requests_with_it():
    crashed = line(1, "g2", event="upstream_crashed", fingerprints="aa", parts="part-1,part-2")
    decision = line(2, "g3", event="request_quarantined", fingerprint="part-2")
    other = line(2, "g3", event="upstream_crashed", fingerprints="bb", parts="part-3")
    refused = line(20, "g1", event="request_refused", request="r2", parts="part-1,part-2")
    own = line(20, "g1", event="request", request="r2", fingerprint="cc", outcome="quarantined")
    found = log_explain.explain_subject([crashed, decision, other, refused, own], "r2")
    assert [entry.text for entry in found.around] == [crashed, decision]


# Guards against an explanation that leaves out earlier attempts, where the cause lies.
def test_quarantined_request_shows_its_earlier_attempts_and_their_crashes_at_all_vms():
    attempt = line(1, "g2", event="attempt_failed", request="r1", fingerprint="aa", upstream="e1")
    crash = line(1, "g2", event="upstream_crashed", peer="e1", fingerprints="bb,aa")
    decision = line(2, "g3", event="request_quarantined", fingerprint="aa")
    other = line(2, "g3", event="request_quarantined", fingerprint="bb")
    own = line(20, "g1", event="request", request="r2", fingerprint="aa", outcome="quarantined")
    explanation = log_explain.explain_subject([attempt, crash, decision, other, own], "r2")
    assert [entry.text for entry in explanation.around] == [attempt, crash, decision]
    assert "upstream_crashed" in explanation.cause


def test_request_that_met_a_leaving_upstream_shows_what_said_so():
    says = line(8, "g1", event="upstream_says_leaving", upstream="e1", started_ms="5")
    other = line(8, "g1", event="upstream_says_leaving", upstream="e2", started_ms="5")
    end = line(11, "g1", event="request", request="r1", upstream="e1", outcome="answered")
    explanation = log_explain.explain_subject([says, other, end], "r1")
    assert [entry.text for entry in explanation.around] == [says]


def test_request_without_an_upstream_shows_all_that_were_leaving():
    told = line(8, "g1", event="upstream_told_leaving", upstream="e2", started_ms="5")
    explanation = log_explain.explain_subject([told, REFUSED], "r1")
    assert [entry.text for entry in explanation.around] == [told]
    assert "upstream_says_leaving" in explanation.cause


def test_stream_that_was_taken_up_shows_the_attempts_before_it_at_all_vms():
    first = line(1, "g1", event="request", request="r1", upstream="e1", version="v1", resumes='""')
    second = line(3, "g2", event="request", request="r2", upstream="e2", version="v1", resumes="r1")
    mixed = line(18, "g3", event="versions_mixed", services="lishe-llm")
    origin = line(20, "g3", event="stream_origin", request="r3", version="v1", possible="1")
    end = line(20, "g3", event="request", request="r3", resumes="r2", outcome="unavailable")
    unrelated = line(2, "g1", event="request", request="r9", upstream="e1", version="v1")
    lines = [first, second, unrelated, mixed, origin, end]
    explanation = log_explain.explain_subject(lines, "r3")
    assert [entry.text for entry in explanation.own] == [origin, end]
    assert [entry.text for entry in explanation.around] == [first, second, mixed]


@pytest.mark.parametrize("text", ["", "no structure", "time=yesterday event=x", "\xff=\x00"])
def test_unstructured_lines_are_skipped(text):
    assert log_explain.parse_line(text) is None
    assert log_explain.explain_subject([text], "r1").own == ()


@pytest.mark.parametrize(("subject", "code"), [("r1", 0), ("r9", 1)])
def test_explain_command_reads_collected_logs(subject, code, tmp_path, capsys):
    logs = tmp_path / "all.log"
    logs.write_text("\n".join((REFUSED, LOST)))
    assert cli.run(["explain", f"--logs={logs}", subject]) == code
    output = capsys.readouterr().out
    assert ("* " + REFUSED in output) == (code == 0)


# Guards against refusals of teams' requests that an operator can't explain from the logs.
@pytest.mark.parametrize(("outcome", "word"), [("unauthorized", "key"), ("rate_limited", "limit")])
def test_refusals_of_teams_are_explained(outcome, word):
    line = f"time=2026-12-05T00:00:01Z event=refused request=r1 outcome={outcome} team=clinic"
    assert word in log_explain.explain_subject([line], "r1").cause
