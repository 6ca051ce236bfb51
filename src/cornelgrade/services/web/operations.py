"""``/v1/status``, ``/v1/explain``, ``/healthz``, ``/readyz`` and ``/metrics``."""

import time
from collections.abc import Iterable

import msgspec
import quart
from aioprometheus.formats import text

from cornelgrade import errors, kernel, metrics, reports, settings
from cornelgrade.adapters import peer_auth, peer_histories, peer_key, platform
from cornelgrade.services import ports
from cornelgrade.services.web import access

_JSON = "application/json"
_PLAIN = "text/plain; charset=utf-8"


def create_blueprint(
    kern: kernel.Kernel,
    cfg: settings.Settings,
    address: str | None = None,
    recorded: ports.RecordedHistories | None = None,
    fleet: ports.FleetHistories | None = None,
) -> quart.Blueprint:
    """Make the operators' routes, and the one for peers.

    :param address: this process's own, by default the gateway's.
    :param recorded: reads the durable records for ``explain``.
    :param fleet: reads what is kept of manifests and orders, for operators.
    """
    made = quart.Blueprint("operations", __name__)
    key = peer_key.read(cfg.peer_key_file)
    own_address = address or cfg.gateway_address

    @made.get("/v1/status")
    async def status() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        found = await _with_jobs(kern.find("conditions", ports.Conditions).status(), recorded)
        return quart.Response(msgspec.json.encode(found), content_type=_JSON)

    @made.get("/v1/explain/<path:identifier>")
    async def explain(identifier: str) -> quart.Response:
        history = await _history(kern, cfg, identifier, recorded, fleet)
        return quart.Response(msgspec.json.encode(history), content_type=_JSON)

    @made.get(f"{peer_histories.PREFIX}/<scope>/<path:identifier>")
    async def tell_peer(scope: str, identifier: str) -> quart.Response:
        header = quart.request.headers.get(peer_auth.AUTH_HEADER)
        path = f"{peer_histories.PREFIX}/{scope}/{identifier}"
        nonce = peer_auth.check_auth(key, header, own_address, path, time.time())
        steps = _local_steps(kern, cfg.vm, ports.HistoryScope(scope), identifier)
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


async def _with_jobs(
    status: reports.Status, recorded: ports.RecordedHistories | None
) -> reports.Status:
    """Add the jobs at risk; a platform that is out is said instead."""
    if recorded is None:
        return status
    try:
        jobs = await recorded.at_risk()
    except platform.UnavailableError as exc:
        what = f"jobs at risk cannot be read: {exc.message}"
        out = reports.Degraded(what, status.at_s)
        return msgspec.structs.replace(status, degraded=(*status.degraded, out))
    return msgspec.structs.replace(status, jobs_at_risk=(*status.jobs_at_risk, *jobs))


async def _history(
    kern: kernel.Kernel,
    cfg: settings.Settings,
    identifier: str,
    recorded: ports.RecordedHistories | None,
    fleet: ports.FleetHistories | None,
) -> reports.History:
    """Put together what this process, its peers and the durable records know.

    :raises Refusal: ``NOT_FOUND`` if none of them knows anything.
    """
    scope, subject = _readable(kern, cfg, identifier)
    steps = list(_local_steps(kern, cfg.vm, scope, subject))
    silent: tuple[str, ...] = ()
    if kern.has("peer_histories"):
        gathered = await kern.find("peer_histories", ports.PeerHistories).gather(scope, subject)
        steps += gathered.steps
        silent = gathered.silent
    if recorded is not None:
        for team, own in _owned(kern, scope, subject):
            steps += _shown(cfg.vm, await recorded.get_steps(team, own))
    if fleet is not None and scope is ports.HistoryScope.ANY:
        steps += _shown(cfg.vm, await fleet.get_steps(subject))
    if not steps:
        raise errors.Refusal(
            errors.Code.NOT_FOUND, f"nothing is known of {identifier}", step="explain"
        )
    steps.sort(key=lambda step: step.at_s)
    return reports.History(subject=identifier, steps=tuple(steps), silent=silent)


def _owned(
    kern: kernel.Kernel, scope: ports.HistoryScope, subject: str
) -> tuple[tuple[str, str], ...]:
    """Split the subjects that belong to a team into the team and the rest.

    An operator's identifier is one only if it is heard of here or begins with the team.
    """
    found = {subject}
    if scope is ports.HistoryScope.ANY:
        found |= {*kern.find("histories", ports.Histories).find(subject)}
    accepted = kern.find("configuration", ports.Configuration).current()
    teams = {team.name for team in accepted.manifest.teams} if accepted else set()
    parts = [name.partition("/") for name in sorted(found)]
    return tuple((team, rest) for team, _, rest in parts if team in teams and rest)


def _local_steps(
    kern: kernel.Kernel, vm: str, scope: ports.HistoryScope, identifier: str
) -> tuple[reports.HistoryStep, ...]:
    """Give what this process knows, oldest step first."""
    histories = kern.find("histories", ports.Histories)
    exact = scope is ports.HistoryScope.EXACT
    subjects = (identifier,) if exact else histories.find(identifier)
    steps = [step for subject in subjects for step in histories.get_steps(subject)]
    return _shown(vm, sorted(steps, key=lambda step: step.at_s))


def _shown(vm: str, steps: Iterable[ports.Step]) -> tuple[reports.HistoryStep, ...]:
    return tuple(
        reports.HistoryStep(step.at_s, vm, step.step, step.sentence, step.peer) for step in steps
    )


def _readable(
    kern: kernel.Kernel, cfg: settings.Settings, identifier: str
) -> tuple[ports.HistoryScope, str]:
    """Say what the caller may read under an identifier: an operator all, a team its own.

    :raises Refusal: ``UNAUTHORIZED`` for a key that is neither.
    """
    hashed = access.bearer_hash(quart.request.headers.get("Authorization"))
    if hashed in cfg.operator_key_hashes:
        return ports.HistoryScope.ANY, identifier
    team = access.caller(kern, quart.request).team.name
    return ports.HistoryScope.EXACT, f"{team}/{identifier}"
