import pytest
from tests.docs import api_page, api_system

from cornelgrade import errors

EXAMPLES = list(api_page.examples())
GIVEN = sorted({example.given for example in EXAMPLES} - {""})
NO_EXAMPLE = {errors.Code.INTERNAL}


async def run(system: api_system.System, example: api_page.Example) -> list[str]:
    values = {
        **api_system.KEYS,
        "CHANGED_MANIFEST": system.manifest(batch={"chunk_items": 10}),
        "LARGE": "x" * 1_000_001,
        "JOB": system.job,
    }
    method, path, _ = api_page.filled(example.request.first, values).split()
    headers = {n: api_page.filled(v, values) for n, v in example.request.headers.items()}
    body = api_page.filled(example.request.body, values).encode()
    answer = await system.client.request(method, path, headers=headers, content=body)
    if path == "/v1/jobs" and answer.status_code == 201:
        system.job = answer.json()["id"]
    found = api_page.differences(answer, example.answer)
    return [f"{example.section}: {method} {path}: {line}" for line in found]


async def test_examples_hold_in_order(tmp_path):
    system = api_system.System(tmp_path)
    found: list[str] = []
    async with system.running():
        for example in EXAMPLES:
            if not example.given:
                found += await run(system, example)
    assert found == []


@pytest.mark.parametrize("given", GIVEN)
async def test_examples_hold_in_a_troubled_system(tmp_path, given):
    system = api_system.System(tmp_path, **api_system.CHANGES.get(given, {}))
    found: list[str] = []
    async with system.running():
        await api_system.GIVEN[given](system)
        for example in EXAMPLES:
            if example.given == given:
                found += await run(system, example)
    assert found == []


@pytest.mark.parametrize("code", [code for code in errors.Code if code not in NO_EXAMPLE])
def test_every_refusal_has_an_example_and_a_row(code):
    assert f"| `{code.value}` | {errors.STATUS[code]} |" in api_page.PAGE.read_text()
    assert any(f'"code": "{code.value}"' in example.answer.body for example in EXAMPLES)
