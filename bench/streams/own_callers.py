"""Callers of the product's own interface: streams, documents, keyed requests and jobs."""

import json
import random

import httpx
import msgspec
import trio
from tests.process import harness

from bench.streams import own_judge

REQUESTS_PER_S = 10.0
JOBS_PER_S = 0.6
ITEMS = 8
TOKENS = (20, 40)
ITEM_TOKENS = 60
ATTEMPTS = 4
ATTEMPT_LIMIT_S = 8.0
RETRY_PAUSE_S = 0.2
FINISH_S = 25.0
STREAM_SHARE, KEYED_SHARE = 0.7, 0.4
_HTTP_TIMEOUT_S = 3.0


class _Result(msgspec.Struct, frozen=True):
    """One line of a job's results."""

    custom_id: str
    outcome: str
    response: dict = {}


class Callers:
    """Sends requests and jobs until told to stop.

    :ivar problems: what is wrong with what they received.
    :ivar whole: requests that brought a whole answer.
    """

    def __init__(self, fleet: harness.Fleet, seed: int) -> None:
        self.problems: list[str] = []
        self.whole = 0
        self.requests = 0
        self.items = 0
        self.accepted_items = 0
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(f"own callers {seed}")
        self._more = True

    async def run(self, seconds: float) -> None:
        """Send for a time, then wait for what was accepted."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, nursery, self._follow, REQUESTS_PER_S)
            nursery.start_soon(self._send, nursery, self._follow_job, JOBS_PER_S)
            await trio.sleep(seconds)
            self._more = False

    async def _send(self, nursery: trio.Nursery, follow, rate_per_s: float) -> None:
        number = 0
        while self._more:
            nursery.start_soon(follow, f"{self._seed}-{number}")
            number += 1
            await trio.sleep(self._rng.expovariate(rate_per_s))

    def _client(self, rng: random.Random) -> tuple[httpx.AsyncClient, str]:
        vm = rng.choice(self._fleet.vms)
        client = httpx.AsyncClient(
            base_url=vm.url,
            headers={"Authorization": f"Bearer {harness.KEY}"},
            timeout=_HTTP_TIMEOUT_S,
            trust_env=False,
        )
        return client, vm.name

    async def _follow(self, name: str) -> None:
        """Send a request, again if it brought no whole answer, and judge each attempt."""
        rng = random.Random(f"own {name}")
        self.requests += 1
        stream, keyed = rng.random() < STREAM_SHARE, rng.random() < KEYED_SHARE
        headers = {"Idempotency-Key": name} if keyed else {}
        tokens = rng.randint(*TOKENS)
        for number in range(ATTEMPTS):
            answer = own_judge.Answer(f"question {name}", tokens, stream)
            with trio.move_on_after(ATTEMPT_LIMIT_S):
                await self._ask(rng, answer, headers)
            if found := own_judge.find_fault(answer):
                kind = f"{'stream' if stream else 'document'}{' with a key' if keyed else ''}"
                self.problems.append(f"{kind} {name}, try {number} at {answer.sent_to}: {found}")
            if answer.whole:
                self.whole += 1
                return
            await trio.sleep(RETRY_PAUSE_S)

    async def _ask(
        self, rng: random.Random, answer: own_judge.Answer, headers: dict[str, str]
    ) -> None:
        body = {"model": "lishe", "prompt": answer.prompt, "max_tokens": answer.tokens}
        body["stream"] = answer.stream
        client, answer.sent_to = self._client(rng)
        try:
            async with (
                client,
                client.stream("POST", "/v1/completions", json=body, headers=headers) as response,
            ):
                answer.status = response.status_code
                async for part in response.aiter_raw():
                    answer.body += part
                answer.complete = True
        except httpx.HTTPError:
            return

    async def _follow_job(self, name: str) -> None:
        """Submit a job, read its results once all items have ended, and judge them."""
        rng = random.Random(f"own job {name}")
        prompts = {f"{name}-{n}": f"note {name}-{n}" for n in range(ITEMS)}
        lines = [
            {"custom_id": item, "body": {"prompt": prompt, "max_tokens": ITEM_TOKENS}}
            for item, prompt in prompts.items()
        ]
        content = "\n".join(json.dumps(line) for line in lines)
        headers = {"Idempotency-Key": f"job-{name}", "Cornelgrade-Priority": "batch"}
        with trio.move_on_after(FINISH_S):
            created = await self._until_given(rng, "POST", "/v1/jobs", content, headers)
            self.accepted_items += ITEMS
            target = f"/v1/jobs/{json.loads(created)['id']}"
            while json.loads(await self._until_given(rng, "GET", target))["state"] == "open":
                await trio.sleep(RETRY_PAUSE_S)
            results = (await self._until_given(rng, "GET", f"{target}/results")).splitlines()
            for result in msgspec.json.decode(b"[" + b",".join(results) + b"]", type=list[_Result]):
                self._judge_item(result, prompts[result.custom_id])

    async def _until_given(
        self,
        rng: random.Random,
        method: str,
        path: str,
        content: str = "",
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Ask some gateway until one gives a success, and return its body."""
        while True:
            client, _ = self._client(rng)
            try:
                async with client:
                    response = await client.request(method, path, content=content, headers=headers)
                if response.is_success:
                    return response.content
            except httpx.HTTPError:
                pass
            await trio.sleep(RETRY_PAUSE_S)

    def _judge_item(self, result: _Result, prompt: str) -> None:
        self.items += 1
        if result.outcome != "ok":
            return
        text = result.response["choices"][0]["text"]
        if found := own_judge.find_text_fault(prompt, ITEM_TOKENS, text, whole=True):
            self.problems.append(f"item {result.custom_id}: {found}")
