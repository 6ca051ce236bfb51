import json

import httpx
import msgspec
import pytest
from tests import samples

import cornelgrade
from cornelgrade import cli, errors, reports
from cornelgrade.commands import _client, _diff, jobs

MANIFEST = json.dumps(samples.MANIFEST)


class FakeGateway:
    """Answers from a table of (method, path) and remembers what it was asked."""

    def __init__(self) -> None:
        self.answers: dict[tuple[str, str], list[httpx.Response | Exception]] = {}
        self.asked: list[httpx.Request] = []

    def on(self, method: str, path: str, *answers: httpx.Response | Exception) -> None:
        self.answers[method, path] = [*answers]

    def __call__(self, req: httpx.Request) -> httpx.Response:
        req.read()
        self.asked.append(req)
        waiting = self.answers[req.method, req.url.path]
        answer = waiting.pop(0) if len(waiting) > 1 else waiting[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture
def gateway(monkeypatch):
    fake = FakeGateway()
    monkeypatch.setattr(_client, "TRANSPORT", httpx.MockTransport(fake))
    monkeypatch.setattr(jobs, "POLL_S", 0.0)
    monkeypatch.setenv(_client.KEY_VARIABLE, "secret")
    monkeypatch.delenv(_client.URL_VARIABLE, raising=False)
    return fake


def refusal(code: errors.Code, **more) -> httpx.Response:
    refused = errors.Refusal(code, "told why", step="admit", **more)
    return httpx.Response(refused.status, content=refused.body())


@pytest.mark.parametrize(
    "argv", [[], ["cook"], ["job"], ["job", "submit"], ["status", "--colour"], ["check"]]
)
def test_wrong_usage_has_its_exit_code_and_shows_the_usage(argv, capsys):
    assert cli.run(argv) == errors.ExitCode.USAGE
    assert "cornelgrade gateway SETTINGS" in capsys.readouterr().err


def test_version_is_shown(capsys):
    with pytest.raises(SystemExit) as caught:
        cli.main(["--version"])
    assert not caught.value.code
    assert cornelgrade.__version__ in capsys.readouterr().out


def test_bad_file_has_its_exit_code_and_shows_each_problem(tmp_path, capsys):
    path = tmp_path / "manifest.json"
    path.write_text('{"services": [], "teams": 3, "priorities": []}')
    assert cli.run(["check", str(path)]) == errors.ExitCode.BAD_INPUT
    assert capsys.readouterr().err.splitlines() == [
        "$.teams: Expected `array`, got `int`",
        "$.upstreams: required field is missing",
    ]


@pytest.mark.parametrize("program", ["gateway", "worker"])
def test_daemon_with_bad_settings_does_not_start(tmp_path, capsys, program):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**samples.SETTINGS, "region": 7}))
    assert cli.run([program, str(path)]) == errors.ExitCode.BAD_INPUT
    assert capsys.readouterr().err == "$.region: Expected `str`, got `int`\n"


@pytest.mark.parametrize(
    ("document", "kind"),
    [(samples.MANIFEST, "manifest"), (samples.SETTINGS, "settings")],
)
def test_check_tells_settings_from_a_manifest(tmp_path, capsys, document, kind):
    path = tmp_path / "file.json"
    path.write_text(json.dumps(document))
    assert cli.run(["check", str(path)]) == errors.ExitCode.OK
    assert f"{kind} is correct" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("answer", "code", "shown"),
    [
        (refusal(errors.Code.FORBIDDEN), errors.ExitCode.REFUSED, "admit: told why"),
        (httpx.ConnectError("no route"), errors.ExitCode.NOT_REACHABLE, "call: no route"),
        (httpx.ReadTimeout(""), errors.ExitCode.NOT_REACHABLE, "call: ReadTimeout"),
        (httpx.Response(500, text="oops"), errors.ExitCode.FAILED, "status 500"),
        (httpx.Response(200, text="oops"), errors.ExitCode.FAILED, "unexpected response"),
    ],
)
def test_each_way_to_fail_has_its_exit_code(gateway, capsys, answer, code, shown):
    gateway.on("GET", "/v1/status", answer)
    assert cli.run(["status"]) == code
    assert shown in capsys.readouterr().err


def test_key_and_url_come_from_options_before_the_environment(gateway, monkeypatch):
    monkeypatch.setenv(_client.URL_VARIABLE, "http://10.0.0.1:80")
    gateway.on("GET", "/v1/jobs", httpx.Response(200, json={"jobs": []}))
    assert cli.run(["job", "list"]) == 0
    assert cli.run(["job", "list", "--url", "http://10.0.0.2:80", "--key", "other"]) == 0
    hosts = [req.url.host for req in gateway.asked]
    keys = [req.headers["Authorization"] for req in gateway.asked]
    assert hosts == ["10.0.0.1", "10.0.0.2"]
    assert keys == ["Bearer secret", "Bearer other"]


def test_status_is_readable(gateway, capsys):
    status = reports.Status(
        vm="entry-1",
        failure_domain="dar-ubungo",
        region="dar",
        software="0.1.0",
        at_s=0.0,
        ready=True,
        manifest_version=7,
        manifest_confirmed=False,
        members=(reports.MemberReport("entry-2", "dar-msasani", "alive", 6, True),),
        degraded=(reports.Degraded("platform unreachable", 1_700_000_000.25),),
    )
    gateway.on("GET", "/v1/status", httpx.Response(200, content=msgspec.json.encode(status)))
    assert cli.run(["status"]) == 0
    shown = capsys.readouterr().out
    assert "manifest version 7, unconfirmed" in shown
    assert "degraded since 2023-11-14 22:13:20.250Z: platform unreachable" in shown
    assert "6 (behind)" in shown


def test_explain_is_told_in_order_and_names_the_silent(gateway, capsys):
    step = reports.HistoryStep(at_s=1.5, vm="entry-1", step="route", sentence="Chose engine-2.")
    history = reports.History(subject="clinic/k 1", steps=(step,), silent=("entry-3 worker",))
    gateway.on(
        "GET", "/v1/explain/clinic/k 1", httpx.Response(200, json=msgspec.to_builtins(history))
    )
    assert cli.run(["explain", "clinic/k 1"]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0] == "1970-01-01 00:00:01.500Z  entry-1 route: Chose engine-2."
    assert "entry-3" in shown[1]


def test_manifest_is_put_under_its_version(gateway, tmp_path, capsys):
    path = tmp_path / "manifest.json"
    path.write_text(MANIFEST)
    gateway.on("PUT", "/v1/manifest", httpx.Response(200, headers={"ETag": '"12"'}))
    assert cli.run(["manifest", "put", str(path), "--if-match=11"]) == 0
    assert gateway.asked[0].headers["If-Match"] == '"11"'
    assert "version 12" in capsys.readouterr().out


def test_bad_manifest_is_not_sent(gateway, tmp_path):
    path = tmp_path / "manifest.json"
    path.write_text("{}")
    assert cli.run(["manifest", "put", str(path)]) == errors.ExitCode.BAD_INPUT
    assert gateway.asked == []


def test_manifest_diff_shows_changes_and_fails_if_there_are_any(gateway, tmp_path, capsys):
    changed = json.loads(MANIFEST)
    changed["upstreams"][0]["slots"] = 16
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(changed))
    gateway.on("GET", "/v1/manifest", httpx.Response(200, text=MANIFEST))
    assert cli.run(["manifest", "diff", str(path)]) == errors.ExitCode.FAILED
    assert capsys.readouterr().out == "~ $.upstreams[engine-1].slots: 8 -> 16\n"
    path.write_text(MANIFEST)
    assert cli.run(["manifest", "diff", str(path)]) == errors.ExitCode.OK


@pytest.mark.parametrize(
    ("old", "new", "shown"),
    [
        ({"a": 1}, {"a": 1, "b": [2]}, ["+ $.b: [2]"]),
        ([{"name": "x"}], [], ['- $[x]: {"name": "x"}']),
        ([1, 2], [2, 1], ["~ $: [1, 2] -> [2, 1]"]),
        ({"a": {}}, {"a": []}, ["~ $.a: {} -> []"]),
    ],
)
def test_difference_of_documents(old, new, shown):
    assert [change.format_line() for change in _diff.find_changes(old, new)] == shown


def job_answer(state: str, finished: int, failed: int = 0) -> httpx.Response:
    job = {"id": "j1", "state": state, "items": 3, "finished": finished, "failed": failed}
    return httpx.Response(200, json=job)


def submit(tmp_path, *more: str) -> int:
    path = tmp_path / "items.jsonl"
    path.write_text('{"custom_id": "1"}\n')
    return cli.run(["job", "submit", str(path), *more])


def test_same_file_is_submitted_under_the_same_key(gateway, tmp_path):
    gateway.on("POST", "/v1/jobs", job_answer("running", 0))
    assert submit(tmp_path) == 0
    assert submit(tmp_path, "--priority=night", "--due=3600", "--service=lishe-llm") == 0
    first, second = gateway.asked
    assert first.headers["Idempotency-Key"] == second.headers["Idempotency-Key"]
    assert second.headers["Cornelgrade-Priority"] == "night"
    assert second.headers["Cornelgrade-Service"] == "lishe-llm"
    assert second.headers["Cornelgrade-Deadline-Ms"] == "3600000"
    assert first.content == b'{"custom_id": "1"}\n'


@pytest.mark.parametrize(
    ("last", "code"),
    [
        (job_answer("done", 3), errors.ExitCode.OK),
        (job_answer("done", 3, failed=1), errors.ExitCode.FAILED),
        (job_answer("cancelled", 1), errors.ExitCode.FAILED),
        (refusal(errors.Code.NOT_FOUND), errors.ExitCode.REFUSED),
    ],
)
def test_waiting_lasts_over_a_restart_until_the_job_ends(gateway, tmp_path, last, code):
    gateway.on("POST", "/v1/jobs", job_answer("running", 0))
    away = httpx.ConnectError("restarting")
    busy = refusal(errors.Code.DRAINING, retry_after_s=1.0)
    gateway.on("GET", "/v1/jobs/j1", job_answer("running", 1), away, busy, last)
    assert submit(tmp_path, "--wait") == code


def test_every_page_of_jobs_is_listed(gateway, capsys):
    job = {"id": "j1", "state": "done"}
    first = httpx.Response(200, json={"jobs": [job], "next": "j1"})
    last = httpx.Response(200, json={"jobs": [{**job, "id": "j2"}]})
    gateway.on("GET", "/v1/jobs", first, last)
    assert cli.run(["job", "list", "--json"]) == 0
    assert [entry["id"] for entry in json.loads(capsys.readouterr().out)["jobs"]] == ["j1", "j2"]
    assert gateway.asked[1].url.params["after"] == "j1"


def test_results_are_written_line_by_line(gateway, capsys):
    gateway.on("GET", "/v1/jobs/j1/results", httpx.Response(200, text='{"a": 1}\n{"a": 2}\n'))
    assert cli.run(["job", "results", "j1"]) == 0
    assert capsys.readouterr().out == '{"a": 1}\n{"a": 2}\n'


@pytest.mark.parametrize("argv", [["job", "submit", "none"], ["job", "submit", "x", "--due=soon"]])
def test_bad_job_arguments_are_bad_input(gateway, argv, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "x").write_text("")
    assert cli.run(argv) == errors.ExitCode.BAD_INPUT


def test_stored_answer_is_written_as_it_is(gateway, capsys):
    gateway.on("GET", "/v1/requests/k/1", httpx.Response(200, text='{"text": "two a day"}'))
    assert cli.run(["request", "get", "k/1"]) == 0
    assert capsys.readouterr().out == '{"text": "two a day"}\n'
