import json

import httpx
import pytest
from tests import samples

from cornelgrade import cli, errors
from cornelgrade.commands import _client

BAD_INPUT = errors.ExitCode.BAD_INPUT
TEAM = {**samples.TEAM, "rate_per_s": 5, "burst": 5}
MANIFEST = {**samples.MANIFEST, "teams": [TEAM]}
DIGEST = TEAM["key_hashes"][0]
ROUTE = {"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "safe", "service": "s"}
TENANT = {"name": "t", "apiKeys": ["secret-1"], "ratePerS": 5, "burst": 5}
PLAN = {"version": 1, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": [TENANT]}


@pytest.fixture
def run(tmp_path, capsys):
    def call(document, *argv: str, against=None, code: int = 0) -> list[str]:
        path = tmp_path / "new.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document, indent=1))
        if against is not None:
            (tmp_path / "old.json").write_text(json.dumps(against))
            argv = (*argv, f"--against={tmp_path / 'old.json'}")
        assert cli.run(["check", str(path), *argv]) == code
        out, err = capsys.readouterr()
        return [line.removeprefix(f"{path}:") for line in (err + out).splitlines()]

    return call


# Guards against scripts that send a file with errors, or stop for a warning.
def test_exit_code_depends_on_errors_and_with_strict_on_warnings(run):
    assert run(MANIFEST) == [" manifest is correct"]
    warned = {**MANIFEST, "teams": [{**TEAM, "burst": 4}]}
    finding, verdict = run(warned)
    lines = json.dumps(warned, indent=1).splitlines()
    line = next(n for n, text in enumerate(lines, 1) if '"burst"' in text)
    assert finding.startswith(f"{line}: warning: $.teams[0].burst: the burst of 4")
    assert verdict == " manifest is correct (1 warning)"
    assert run(warned, "--strict", code=BAD_INPUT) == [finding, verdict]
    assert run({**MANIFEST, "services": []}, code=BAD_INPUT)[-1] == (
        " manifest has errors (1 error, 1 warning)"
    )


# Guards against a file that is reviewed in another format than its own.
def test_format_is_told_by_content_or_by_the_option(run):
    assert run(PLAN) == [" desired-state is correct"]
    assert run({}, "--format=desired-state", code=BAD_INPUT)[0] == (
        "1: error: $.version: required field is missing"
    )
    assert run({}, code=BAD_INPUT)[-1] == " manifest has errors (4 errors)"
    assert "none of settings, desired-state, manifest" in run({}, "--format=x", code=BAD_INPUT)[0]


# Guards against malformed files without a line, and nested ones that end the command by a trace.
@pytest.mark.parametrize(("text", "line"), [('{\n"a": x}', 2), ("[" * 100_000, 1), ("", 1)])
def test_malformed_file_is_an_error_with_its_line(run, text, line):
    assert run(text, code=BAD_INPUT)[0].startswith(f"{line}: error: $: not JSON: ")


# Guards against a second list of teams that silently replaces the first one.
def test_repeated_field_is_an_error(run):
    text = json.dumps(PLAN)[:-1] + ',\n"tenants": null}'
    assert run(text, code=BAD_INPUT)[0].startswith("2: error: $.tenants: the field repeats")


# Guards against changes that an operator doesn't see before sending, and against keys in output.
def test_differences_are_listed_and_keys_are_counted(run):
    new = {
        "version": 2,
        "routes": [{**ROUTE, "timeoutMs": 9000}, {**ROUTE, "name": "q", "pathPrefix": "/b/"}],
        "services": [{"name": "s", "maxConnections": 99}],
        "limits": {"maxBodyBytes": 5},
        "tenants": [
            {**TENANT, "apiKeys": ["secret-2"], "burst": 9},
            {"name": "u", "apiKeys": ["secret-3"]},
        ],
    }
    gone = {"name": "gone", "apiKeys": ["secret-4", "secret-5"]}
    lines = run(new, against={**PLAN, "tenants": [TENANT, gone]})
    assert [line.split(": {")[0] for line in lines[1:]] == [
        "~ $.version: 1 -> 2",
        "~ $.routes[r].timeoutMs: 30000.0 -> 9000.0",
        "+ $.routes[q]",
        "~ $.services[s].maxConnections: 256 -> 99",
        "~ $.limits.maxBodyBytes: 0 -> 5",
        "~ $.tenants[t].burst: 5.0 -> 9.0",
        "- $.tenants[gone]",
        "+ $.tenants[u]",
        "~ $.tenants[t].apiKeys",
    ]
    assert lines[-1].endswith(': {"count": 1} -> {"count": 1, "added": 1, "removed": 1}')
    assert '"apiKeys": 2' in lines[7]
    assert "secret" not in "".join(lines)
    assert "is not above version 2" in run(PLAN, against={**PLAN, **new}, code=BAD_INPUT)[0]


# Guards against scripts that can't read findings, and against digests of keys in output.
def test_json_has_findings_and_differences(run):
    new = {**MANIFEST, "teams": [{**TEAM, "burst": 4, "key_hashes": [DIGEST, "b" * 64]}]}
    text = "\n".join(run(new, "--json", against=MANIFEST))
    report = json.loads(text)
    assert (report["kind"], report["problems"]) == ("manifest", [])
    (finding,) = report["findings"]
    assert (finding["severity"], finding["path"]) == ("warning", "$.teams[0].burst")
    assert finding["line"] > 1
    paths = [change["path"] for change in report["differences"]]
    assert paths == ["$.teams[clinic].burst", "$.teams[clinic].key_hashes"]
    assert DIGEST not in text
    assert json.loads("\n".join(run(MANIFEST, "--json")))["differences"] is None
    broken = json.loads("\n".join(run({**MANIFEST, "teams": 1}, "--json", code=BAD_INPUT)))
    assert broken["problems"] == ["$.teams: Expected `array`, got `int`"]


def serve(monkeypatch, response: httpx.Response) -> None:
    monkeypatch.setattr(_client, "TRANSPORT", httpx.MockTransport(lambda req: response))


# Guards against a comparison with anything but the manifest in force.
def test_current_version_is_read_from_the_gateway(run, monkeypatch):
    serve(monkeypatch, httpx.Response(200, json=samples.MANIFEST))
    assert run(MANIFEST, "--against=current")[1:] == [
        "~ $.teams[clinic].rate_per_s: 100.0 -> 5.0",
        "~ $.teams[clinic].burst: 200 -> 5",
    ]
    refused = errors.Refusal(errors.Code.FORBIDDEN, "told why", step="admit")
    serve(monkeypatch, httpx.Response(403, content=refused.body()))
    assert "told why" in run(MANIFEST, "--against=current", code=errors.ExitCode.REFUSED)[0]


# Guards against a silent comparison with nothing.
@pytest.mark.parametrize(
    ("document", "against", "message"),
    [
        (PLAN, "current", "of a manifest only"),
        (samples.SETTINGS, "current", "settings have no version in force"),
        (MANIFEST, "none.json", "No such file"),
        (MANIFEST, "bad.json", "bad.json: $: not JSON"),
    ],
)
def test_version_that_can_not_be_compared_is_bad_input(
    run, tmp_path, monkeypatch, document, against, message
):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "bad.json").write_text("{")
    assert message in run(document, f"--against={against}", code=BAD_INPUT)[0]
