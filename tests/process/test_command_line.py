"""The command line against real gateway and worker processes."""

import json

import pytest
from tests.process import harness

from cornelgrade import cli, errors

BODY = {"model": "lishe", "prompt": "iron for a child of two", "max_tokens": 3}


@pytest.fixture(scope="module")
def fleet():
    with harness.Fleet(vms=1, engines=2) as running_fleet:
        yield running_fleet


@pytest.fixture
def run(fleet, capsys, monkeypatch):
    monkeypatch.setenv("CORNELGRADE_URL", fleet.vms[0].url)
    monkeypatch.setenv("CORNELGRADE_KEY", harness.KEY)

    def call(*argv: str, code: int = 0) -> str:
        assert cli.run([*argv]) == code
        return capsys.readouterr().out

    return call


def test_job_is_submitted_followed_and_read(run, tmp_path):
    path = tmp_path / "items.jsonl"
    path.write_text(
        "".join(json.dumps({"custom_id": f"n{i}", "body": BODY}) + "\n" for i in (1, 2))
    )
    submit = ("job", "submit", str(path), "--service=lishe-llm")
    job = json.loads(run(*submit, "--wait", "--json"))
    assert (job["state"], job["items"], job["finished"]) == ("done", 2, 2)
    assert json.loads(run(*submit, "--json"))["id"] == job["id"]
    lines = run("job", "results", job["id"]).splitlines()
    assert [json.loads(line)["custom_id"] for line in lines] == ["n1", "n2"]
    assert f"{job['id']}  done" in run("job", "list")
    assert "Accepted with 2 items" in run("explain", job["id"])
    assert "done" in run("job", "cancel", job["id"])


def test_keyed_request_is_read_and_explained(run, fleet):
    with fleet.call(headers={"Idempotency-Key": "k 1", "X-Request-Id": "r1"}) as client:
        sent = client.post("/v1/completions", json=BODY)
    assert json.loads(run("request", "get", "k 1")) == sent.json()
    assert "Sent to engine-" in run("explain", "r1")
    assert "Its answer is stored" in run("explain", "k 1")


def test_manifest_is_compared_and_replaced(run, tmp_path):
    operator = f"--key={harness.OPERATOR_KEY}"
    got = json.loads(run("manifest", "get", operator, "--json"))
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(got["manifest"]))
    assert run("manifest", "diff", str(path), operator) == ""
    compared = run("check", str(path), operator, "--against=current", "--json")
    assert json.loads(compared)["differences"] == []
    got["manifest"]["batch"]["max_attempts"] = 3
    path.write_text(json.dumps(got["manifest"]))
    shown = run("manifest", "diff", str(path), operator, code=errors.ExitCode.FAILED)
    assert shown == "~ $.batch.max_attempts: 4 -> 3\n"
    put = ("manifest", "put", str(path), operator)
    run(*put, "--if-match=999999", code=errors.ExitCode.REFUSED)
    assert "accepted as version" in run(*put, f"--if-match={got['version']}")


def test_status_is_for_operators(run):
    run("status", code=errors.ExitCode.REFUSED)
    shown = run("status", f"--key={harness.OPERATOR_KEY}")
    assert "vm-0 in dar-kariakoo" in shown
    assert "engine-1" in shown


def test_nobody_there_is_not_reachable(run):
    run("status", "--url=http://127.0.0.1:9", code=errors.ExitCode.NOT_REACHABLE)
