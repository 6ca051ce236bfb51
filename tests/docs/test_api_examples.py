import pytest
from tests.docs import api_page, api_system

from cornelgrade import errors

EXAMPLES = list(api_page.read_examples())
GIVEN = sorted({example.given for example in EXAMPLES} - {""})
CODES_WITHOUT_EXAMPLE = {errors.Code.INTERNAL}


async def check_example(system: api_system.System, example: api_page.Example) -> list[str]:
    values = {
        **api_system.KEYS,
        "CHANGED_MANIFEST": system.manifest(batch={"chunk_items": 10}),
        "LARGE": "x" * 1_000_001,
        "JOB": system.job,
    }
    method, path, _ = api_page.substitute(example.request.start_line, values).split()
    headers = {n: api_page.substitute(v, values) for n, v in example.request.headers.items()}
    body = api_page.substitute(example.request.body, values).encode()
    response = await system.client.request(method, path, headers=headers, content=body)
    if path == "/v1/jobs" and response.status_code == 201:
        system.job = response.json()["id"]
    differences = api_page.find_differences(response, example.response)
    return [f"{example.section}: {method} {path}: {line}" for line in differences]


async def test_examples_match_in_order(tmp_path):
    system = api_system.System(tmp_path)
    differences: list[str] = []
    async with system.running():
        for example in EXAMPLES:
            if not example.given:
                differences += await check_example(system, example)
    assert differences == []


@pytest.mark.parametrize("given", GIVEN)
async def test_examples_match_in_the_given_state(tmp_path, given):
    system = api_system.System(tmp_path, **api_system.MANIFEST_CHANGES.get(given, {}))
    differences: list[str] = []
    async with system.running():
        await api_system.SETUP_BY_STATE[given](system)
        for example in EXAMPLES:
            if example.given == given:
                differences += await check_example(system, example)
    assert differences == []


@pytest.mark.parametrize(
    "code", [code for code in errors.Code if code not in CODES_WITHOUT_EXAMPLE]
)
def test_every_refusal_code_has_an_example_and_a_table_row(code):
    assert f"| `{code.value}` | {errors.STATUS[code]} |" in api_page.PAGE.read_text()
    assert any(f'"code": "{code.value}"' in example.response.body for example in EXAMPLES)
