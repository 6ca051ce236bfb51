"""``/v1/status``, ``/v1/explain``, ``/healthz``, ``/readyz`` and ``/metrics``."""

import msgspec
import quart
from aioprometheus.formats import text

from cornelgrade import errors, kernel, metrics, reports, settings
from cornelgrade.services import ports
from cornelgrade.services.web import access

_JSON = "application/json"
_PLAIN = "text/plain; charset=utf-8"


def blueprint(kern: kernel.Kernel, cfg: settings.Settings) -> quart.Blueprint:
    """Make the operators' routes."""
    made = quart.Blueprint("operations", __name__)

    @made.get("/v1/status")
    async def status() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        found = kern.find("conditions", ports.Conditions).status()
        return quart.Response(msgspec.json.encode(found), content_type=_JSON)

    @made.get("/v1/explain/<path:identifier>")
    async def explain(identifier: str) -> quart.Response:
        subjects = _subjects(kern, cfg, identifier)
        steps = local_steps(kern, cfg.vm, subjects)
        if not steps:
            raise errors.Refusal(
                errors.Code.NOT_FOUND, f"nothing is known of {identifier}", step="explain"
            )
        story = reports.Story(subject=identifier, steps=steps)
        return quart.Response(msgspec.json.encode(story), content_type=_JSON)

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


def local_steps(
    kern: kernel.Kernel, vm: str, subjects: tuple[str, ...]
) -> tuple[reports.StoryStep, ...]:
    """Give what this process knows of some subjects, oldest step first."""
    stories = kern.find("stories", ports.Stories)
    steps = [step for subject in subjects for step in stories.tell(subject)]
    return tuple(
        reports.StoryStep(step.at_s, vm, step.step, step.sentence, step.peer)
        for step in sorted(steps, key=lambda step: step.at_s)
    )


def _subjects(kern: kernel.Kernel, cfg: settings.Settings, identifier: str) -> tuple[str, ...]:
    """Name the subjects that the caller may read: an operator all, a team its own.

    :raises Refusal: ``UNAUTHORIZED`` for a key that is neither.
    """
    hashed = access.bearer_hash(quart.request.headers.get("Authorization"))
    if hashed in cfg.operator_key_hashes:
        return kern.find("stories", ports.Stories).find(identifier)
    team = access.caller(kern, quart.request).team.name
    return (f"{team}/{identifier}",)
