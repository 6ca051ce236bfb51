"""``/v1/status``, ``/v1/explain``, ``/healthz``, ``/readyz`` and ``/metrics``."""

import time

import msgspec
import quart
from aioprometheus.formats import text

from cornelgrade import errors, kernel, metrics, reports, settings
from cornelgrade.adapters import peer_auth, peer_key, peer_stories
from cornelgrade.services import ports
from cornelgrade.services.web import access

_JSON = "application/json"
_PLAIN = "text/plain; charset=utf-8"


def blueprint(
    kern: kernel.Kernel, cfg: settings.Settings, address: str | None = None
) -> quart.Blueprint:
    """Make the operators' routes, and the one for peers.

    :param address: this process's own, by default the gateway's.
    """
    made = quart.Blueprint("operations", __name__)
    key = peer_key.read(cfg.peer_key_file)
    own_address = address or cfg.gateway_address

    @made.get("/v1/status")
    async def status() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        found = kern.find("conditions", ports.Conditions).status()
        return quart.Response(msgspec.json.encode(found), content_type=_JSON)

    @made.get("/v1/explain/<path:identifier>")
    async def explain(identifier: str) -> quart.Response:
        story = await _story(kern, cfg, identifier)
        return quart.Response(msgspec.json.encode(story), content_type=_JSON)

    @made.get(f"{peer_stories.PREFIX}/<scope>/<path:identifier>")
    async def tell_peer(scope: str, identifier: str) -> quart.Response:
        header = quart.request.headers.get(peer_auth.AUTH_HEADER)
        path = f"{peer_stories.PREFIX}/{scope}/{identifier}"
        nonce = peer_auth.check_auth(key, header, own_address, path, time.time())
        steps = _local_steps(kern, cfg.vm, ports.StoryScope(scope), identifier)
        body = msgspec.json.encode(steps)
        answer = quart.Response(body, content_type=_JSON)
        answer.headers[peer_auth.TAG_HEADER] = peer_auth.answer_tag(key, nonce, body)
        return answer

    @made.get("/healthz")
    async def healthy() -> quart.Response:
        return quart.Response("ok\n", content_type=_PLAIN)

    @made.get("/readyz")
    async def ready() -> quart.Response:
        if kern.find("conditions", ports.Conditions).ready():
            return quart.Response("ready\n", content_type=_PLAIN)
        return quart.Response("not ready\n", status=503, content_type=_PLAIN)

    @made.get("/metrics")
    async def metrics_text() -> quart.Response:
        formatter = text.TextFormatter()
        body = formatter.marshall(metrics.REGISTRY)
        return quart.Response(body, content_type=formatter.get_headers()["Content-Type"])

    return made


async def _story(kern: kernel.Kernel, cfg: settings.Settings, identifier: str) -> reports.Story:
    """Put together what this process and its peers know.

    :raises Refusal: ``NOT_FOUND`` if none of them knows anything.
    """
    scope, subject = _readable(kern, cfg, identifier)
    steps = _local_steps(kern, cfg.vm, scope, subject)
    silent: tuple[str, ...] = ()
    if kern.has("peer_stories"):
        gathered = await kern.find("peer_stories", ports.PeerStories).gather(scope, subject)
        steps = tuple(sorted((*steps, *gathered.steps), key=lambda step: step.at_s))
        silent = gathered.silent
    if not steps:
        raise errors.Refusal(
            errors.Code.NOT_FOUND, f"nothing is known of {identifier}", step="explain"
        )
    return reports.Story(subject=identifier, steps=steps, silent=silent)


def _local_steps(
    kern: kernel.Kernel, vm: str, scope: ports.StoryScope, identifier: str
) -> tuple[reports.StoryStep, ...]:
    """Give what this process knows, oldest step first."""
    stories = kern.find("stories", ports.Stories)
    exact = scope is ports.StoryScope.EXACT
    subjects = (identifier,) if exact else stories.find(identifier)
    steps = [step for subject in subjects for step in stories.tell(subject)]
    return tuple(
        reports.StoryStep(step.at_s, vm, step.step, step.sentence, step.peer)
        for step in sorted(steps, key=lambda step: step.at_s)
    )


def _readable(
    kern: kernel.Kernel, cfg: settings.Settings, identifier: str
) -> tuple[ports.StoryScope, str]:
    """Say what the caller may read under an identifier: an operator all, a team its own.

    :raises Refusal: ``UNAUTHORIZED`` for a key that is neither.
    """
    hashed = access.bearer_hash(quart.request.headers.get("Authorization"))
    if hashed in cfg.operator_key_hashes:
        return ports.StoryScope.ANY, identifier
    team = access.caller(kern, quart.request).team.name
    return ports.StoryScope.EXACT, f"{team}/{identifier}"
