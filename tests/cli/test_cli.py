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
    """Returns the responses set per (method, path), repeating the last, and records requests."""

    def __init__(self) -> None:
        self.responses: dict[tuple[str, str], list[httpx.Response | Exception]] = {}
        self.requests: list[httpx.Request] = []

    def on(self, method: str, path: str, *responses: httpx.Response | Exception) -> None:
        self.responses[method, path] = [*responses]

    def __call__(self, req: httpx.Request) -> httpx.Response:
        req.read()
        self.requests.append(req)
        queue = self.responses[req.method, req.url.path]
        response = queue.pop(0) if len(queue) > 1 else queue[0]
        if isinstance(response, Exception):
            raise response
        return response


@pytest.fixture
def gateway(monkeypatch):
    fake = FakeGateway()
    monkeypatch.setattr(_client, "TRANSPORT", httpx.MockTransport(fake))
    monkeypatch.setattr(jobs, "POLL_S", 0.0)
    monkeypatch.setenv(_client.KEY_VARIABLE, "secret")
    monkeypatch.delenv(_client.URL_VARIABLE, raising=False)
    return fake


def refusal_response(code: errors.Code, **options) -> httpx.Response:
    refused = errors.Refusal(code, "told why", step="admit", **options)
    return httpx.Response(refused.status, content=refused.body())


@pytest.mark.parametrize(
    "argv", [[], ["cook"], ["job"], ["job", "submit"], ["status", "--colour"], ["check"]]
)
def test_usage_error_exits_with_usage_code_and_prints_usage(argv, capsys):
    assert cli.run(argv) == errors.ExitCode.USAGE
    assert "cornelgrade gateway SETTINGS" in capsys.readouterr().err


def test_version_is_printed(capsys):
    with pytest.raises(SystemExit) as caught:
        cli.main(["--version"])
    assert not caught.value.code
    assert cornelgrade.__version__ in capsys.readouterr().out


def test_invalid_file_exits_with_bad_input_and_prints_each_problem(tmp_path, capsys):
    path = tmp_path / "manifest.json"
    path.write_text('{"services": [],\n"teams": 3, "priorities": []}')
    assert cli.run(["check", str(path)]) == errors.ExitCode.BAD_INPUT
    assert capsys.readouterr().err.splitlines() == [
        f"{path}:1: error: $.upstreams: required field is missing",
        f"{path}:2: error: $.teams: Expected `array`, got `int`",
    ]


@pytest.mark.parametrize("program", ["gateway", "worker"])
def test_daemon_with_invalid_settings_does_not_start(tmp_path, capsys, program):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**samples.SETTINGS, "region": 7}))
    assert cli.run([program, str(path)]) == errors.ExitCode.BAD_INPUT
    assert capsys.readouterr().err == "$.region: Expected `str`, got `int`\n"


@pytest.mark.parametrize(
    ("document", "kind"),
    [(samples.MANIFEST, "manifest"), (samples.SETTINGS, "settings")],
)
def test_check_distinguishes_settings_from_manifest(tmp_path, capsys, document, kind):
    path = tmp_path / "file.json"
    path.write_text(json.dumps(document))
    assert cli.run(["check", str(path)]) == errors.ExitCode.OK
    assert f"{kind} is correct" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("response", "code", "shown"),
    [
        (refusal_response(errors.Code.FORBIDDEN), errors.ExitCode.REFUSED, "admit: told why"),
        (httpx.ConnectError("no route"), errors.ExitCode.NOT_REACHABLE, "call: no route"),
        (httpx.ReadTimeout(""), errors.ExitCode.NOT_REACHABLE, "call: ReadTimeout"),
        (httpx.Response(500, text="oops"), errors.ExitCode.FAILED, "status 500"),
        (httpx.Response(200, text="oops"), errors.ExitCode.FAILED, "unexpected response"),
    ],
)
def test_each_failure_has_its_exit_code(gateway, capsys, response, code, shown):
    gateway.on("GET", "/v1/status", response)
    assert cli.run(["status"]) == code
    assert shown in capsys.readouterr().err


def test_key_and_url_options_override_environment(gateway, monkeypatch):
    monkeypatch.setenv(_client.URL_VARIABLE, "http://10.0.0.1:80")
    gateway.on("GET", "/v1/jobs", httpx.Response(200, json={"jobs": []}))
    assert cli.run(["job", "list"]) == 0
    assert cli.run(["job", "list", "--url", "http://10.0.0.2:80", "--key", "other"]) == 0
    hosts = [req.url.host for req in gateway.requests]
    keys = [req.headers["Authorization"] for req in gateway.requests]
    assert hosts == ["10.0.0.1", "10.0.0.2"]
    assert keys == ["Bearer secret", "Bearer other"]


def test_status_is_printed_as_text(gateway, capsys):
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


def test_explain_prints_steps_and_unresponsive_processes(gateway, capsys):
    step = reports.HistoryStep(at_s=1.5, vm="entry-1", step="route", sentence="Chose engine-2.")
    history = reports.History(subject="clinic/k 1", steps=(step,), silent=("entry-3 worker",))
    gateway.on(
        "GET", "/v1/explain/clinic/k 1", httpx.Response(200, json=msgspec.to_builtins(history))
    )
    assert cli.run(["explain", "clinic/k 1"]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0] == "1970-01-01 00:00:01.500Z  entry-1 route: Chose engine-2."
    assert "entry-3" in shown[1]


def test_manifest_put_sends_if_match(gateway, tmp_path, capsys):
    path = tmp_path / "manifest.json"
    path.write_text(MANIFEST)
    gateway.on("PUT", "/v1/manifest", httpx.Response(200, headers={"ETag": '"12"'}))
    assert cli.run(["manifest", "put", str(path), "--if-match=11"]) == 0
    assert gateway.requests[0].headers["If-Match"] == '"11"'
    assert "version 12" in capsys.readouterr().out


def test_invalid_manifest_is_not_sent(gateway, tmp_path):
    path = tmp_path / "manifest.json"
    path.write_text("{}")
    assert cli.run(["manifest", "put", str(path)]) == errors.ExitCode.BAD_INPUT
    assert gateway.requests == []


def test_manifest_diff_prints_changes_and_fails_if_any(gateway, tmp_path, capsys):
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
def test_changes_between_documents(old, new, shown):
    assert [change.format_line() for change in _diff.find_changes(old, new)] == shown


def job_response(state: str, finished: int, failed: int = 0) -> httpx.Response:
    job = {"id": "j1", "state": state, "items": 3, "finished": finished, "failed": failed}
    return httpx.Response(200, json=job)


def submit_file(tmp_path, *options: str) -> int:
    path = tmp_path / "items.jsonl"
    path.write_text('{"custom_id": "1"}\n')
    return cli.run(["job", "submit", str(path), *options])


def test_same_file_is_submitted_with_same_idempotency_key(gateway, tmp_path):
    gateway.on("POST", "/v1/jobs", job_response("running", 0))
    assert submit_file(tmp_path) == 0
    assert submit_file(tmp_path, "--priority=night", "--due=3600", "--service=lishe-llm") == 0
    first, second = gateway.requests
    assert first.headers["Idempotency-Key"] == second.headers["Idempotency-Key"]
    assert second.headers["Cornelgrade-Priority"] == "night"
    assert second.headers["Cornelgrade-Service"] == "lishe-llm"
    assert second.headers["Cornelgrade-Deadline-Ms"] == "3600000"
    assert first.content == b'{"custom_id": "1"}\n'


@pytest.mark.parametrize(
    ("last", "code"),
    [
        (job_response("done", 3), errors.ExitCode.OK),
        (job_response("done", 3, failed=1), errors.ExitCode.FAILED),
        (job_response("cancelled", 1), errors.ExitCode.FAILED),
        (refusal_response(errors.Code.NOT_FOUND), errors.ExitCode.REFUSED),
    ],
)
def test_wait_continues_through_gateway_restart_until_job_ends(gateway, tmp_path, last, code):
    gateway.on("POST", "/v1/jobs", job_response("running", 0))
    connection_error = httpx.ConnectError("restarting")
    draining_response = refusal_response(errors.Code.DRAINING, retry_after_s=1.0)
    gateway.on(
        "GET", "/v1/jobs/j1", job_response("running", 1), connection_error, draining_response, last
    )
    assert submit_file(tmp_path, "--wait") == code


def test_job_list_reads_every_page(gateway, capsys):
    job = {"id": "j1", "state": "done"}
    first = httpx.Response(200, json={"jobs": [job], "next": "j1"})
    last = httpx.Response(200, json={"jobs": [{**job, "id": "j2"}]})
    gateway.on("GET", "/v1/jobs", first, last)
    assert cli.run(["job", "list", "--json"]) == 0
    assert [entry["id"] for entry in json.loads(capsys.readouterr().out)["jobs"]] == ["j1", "j2"]
    assert gateway.requests[1].url.params["after"] == "j1"


def test_job_results_are_printed_unchanged(gateway, capsys):
    gateway.on("GET", "/v1/jobs/j1/results", httpx.Response(200, text='{"a": 1}\n{"a": 2}\n'))
    assert cli.run(["job", "results", "j1"]) == 0
    assert capsys.readouterr().out == '{"a": 1}\n{"a": 2}\n'


@pytest.mark.parametrize("argv", [["job", "submit", "none"], ["job", "submit", "x", "--due=soon"]])
def test_invalid_job_arguments_are_bad_input(gateway, argv, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "x").write_text("")
    assert cli.run(argv) == errors.ExitCode.BAD_INPUT


def test_stored_response_is_printed_unchanged(gateway, capsys):
    gateway.on("GET", "/v1/requests/k/1", httpx.Response(200, text='{"text": "two a day"}'))
    assert cli.run(["request", "get", "k/1"]) == 0
    assert capsys.readouterr().out == '{"text": "two a day"}\n'
