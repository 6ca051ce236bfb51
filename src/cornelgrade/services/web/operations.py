"""``/v1/status``, ``/v1/explain``, ``/healthz``, ``/readyz``, ``/metrics`` and peer histories."""

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
_PLAIN_TEXT = "text/plain; charset=utf-8"


def create_blueprint(
    kern: kernel.Kernel,
    cfg: settings.Settings,
    address: str | None = None,
    recorded: ports.RecordedHistories | None = None,
    fleet: ports.FleetHistories | None = None,
) -> quart.Blueprint:
    """Create the routes for operators, and the history route for peers.

    :param address: this process's address, by default the gateway's.
    :param recorded: reads durable records for ``explain`` and jobs at risk for ``status``.
    :param fleet: reads the stored histories of manifests and orders, for operators only.
    """
    routes = quart.Blueprint("operations", __name__)
    key = peer_key.read(cfg.peer_key_file)
    own_address = address or cfg.gateway_address

    @routes.get("/v1/status")
    async def get_status() -> quart.Response:
        access.require_operator(quart.request, cfg.operator_key_hashes)
        fleet_status = await _add_jobs_at_risk(
            kern.find("conditions", ports.Conditions).status(), recorded
        )
        return quart.Response(msgspec.json.encode(fleet_status), content_type=_JSON)

    @routes.get("/v1/explain/<path:identifier>")
    async def get_explanation(identifier: str) -> quart.Response:
        history = await _gather_history(kern, cfg, identifier, recorded, fleet)
        return quart.Response(msgspec.json.encode(history), content_type=_JSON)

    @routes.get(f"{peer_histories.PREFIX}/<scope>/<path:identifier>")
    async def get_peer_history(scope: str, identifier: str) -> quart.Response:
        header = quart.request.headers.get(peer_auth.AUTH_HEADER)
        path = f"{peer_histories.PREFIX}/{scope}/{identifier}"
        nonce = peer_auth.verify_auth_header(key, header, own_address, path, time.time())
        steps = _get_local_steps(kern, cfg.vm, ports.HistoryScope(scope), identifier)
        body = msgspec.json.encode(steps)
        response = quart.Response(body, content_type=_JSON)
        response.headers[peer_auth.TAG_HEADER] = peer_auth.make_response_tag(key, nonce, body)
        return response

    @routes.get("/healthz")
    async def get_health() -> quart.Response:
        return quart.Response("ok\n", content_type=_PLAIN_TEXT)

    @routes.get("/readyz")
    async def get_readiness() -> quart.Response:
        if kern.find("conditions", ports.Conditions).ready():
            return quart.Response("ready\n", content_type=_PLAIN_TEXT)
        return quart.Response("not ready\n", status=503, content_type=_PLAIN_TEXT)

    @routes.get("/metrics")
    async def get_metrics() -> quart.Response:
        formatter = text.TextFormatter()
        body = formatter.marshall(metrics.REGISTRY)
        return quart.Response(body, content_type=formatter.get_headers()["Content-Type"])

    return routes


async def _add_jobs_at_risk(
    status: reports.Status, recorded: ports.RecordedHistories | None
) -> reports.Status:
    """Add the jobs at risk, or a degraded condition if the platform is unavailable."""
    if recorded is None:
        return status
    try:
        jobs = await recorded.at_risk()
    except platform.UnavailableError as exc:
        what = f"jobs at risk cannot be read: {exc.message}"
        outage = reports.Degraded(what, status.at_s)
        return msgspec.structs.replace(status, degraded=(*status.degraded, outage))
    return msgspec.structs.replace(status, jobs_at_risk=(*status.jobs_at_risk, *jobs))


async def _gather_history(
    kern: kernel.Kernel,
    cfg: settings.Settings,
    identifier: str,
    recorded: ports.RecordedHistories | None,
    fleet: ports.FleetHistories | None,
) -> reports.History:
    """Return the steps from this process, its peers and the durable records, oldest first.

    :raises Refusal: ``NOT_FOUND`` if none of them has a step.
    """
    scope, subject = _authorize_subject(kern, cfg, identifier)
    steps = list(_get_local_steps(kern, cfg.vm, scope, subject))
    silent: tuple[str, ...] = ()
    if kern.has("peer_histories"):
        gathered = await kern.find("peer_histories", ports.PeerHistories).gather(scope, subject)
        steps += gathered.steps
        silent = gathered.silent
    if recorded is not None:
        for team, team_subject in _split_team_subjects(kern, scope, subject):
            steps += _to_history_steps(cfg.vm, await recorded.get_steps(team, team_subject))
    if fleet is not None and scope is ports.HistoryScope.ANY:
        steps += _to_history_steps(cfg.vm, await fleet.get_steps(subject))
    if not steps:
        raise errors.Refusal(
            errors.Code.NOT_FOUND, f"nothing is known of {identifier}", step="explain"
        )
    steps.sort(key=lambda step: step.at_s)
    return reports.History(subject=identifier, steps=tuple(steps), silent=silent)


def _split_team_subjects(
    kern: kernel.Kernel, scope: ports.HistoryScope, subject: str
) -> tuple[tuple[str, str], ...]:
    """Return the subjects that belong to a team as pairs of the team and the rest.

    An operator's identifier matches a team's subject only if this process has a history of that
    subject, or if the identifier begins with the team.
    """
    subjects = {subject}
    if scope is ports.HistoryScope.ANY:
        subjects |= {*kern.find("histories", ports.Histories).find(subject)}
    accepted = kern.find("configuration", ports.Configuration).current()
    teams = {team.name for team in accepted.manifest.teams} if accepted else set()
    parts = [name.partition("/") for name in sorted(subjects)]
    return tuple((team, rest) for team, _, rest in parts if team in teams and rest)


def _get_local_steps(
    kern: kernel.Kernel, vm: str, scope: ports.HistoryScope, identifier: str
) -> tuple[reports.HistoryStep, ...]:
    """Return the steps that this process has recorded, oldest first."""
    histories = kern.find("histories", ports.Histories)
    exact = scope is ports.HistoryScope.EXACT
    subjects = (identifier,) if exact else histories.find(identifier)
    steps = [step for subject in subjects for step in histories.get_steps(subject)]
    return _to_history_steps(vm, sorted(steps, key=lambda step: step.at_s))


def _to_history_steps(vm: str, steps: Iterable[ports.Step]) -> tuple[reports.HistoryStep, ...]:
    return tuple(
        reports.HistoryStep(step.at_s, vm, step.step, step.sentence, step.peer) for step in steps
    )


def _authorize_subject(
    kern: kernel.Kernel, cfg: settings.Settings, identifier: str
) -> tuple[ports.HistoryScope, str]:
    """Return the scope and subject that the caller may read under an identifier.

    An operator reads every subject, a team only its own.

    :raises Refusal: ``UNAUTHORIZED`` if the key belongs to neither.
    """
    hashed_key = access.hash_bearer_key(quart.request.headers.get("Authorization"))
    if hashed_key in cfg.operator_key_hashes:
        return ports.HistoryScope.ANY, identifier
    team = access.authenticate_caller(kern, quart.request).team.name
    return ports.HistoryScope.EXACT, f"{team}/{identifier}"
