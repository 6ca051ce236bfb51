"""Encodes :class:`messages.Datagram` as packed Cap'n Proto bytes and decodes it."""

from collections.abc import Callable
from typing import Any

from cornelgrade.policy import shared_allowance
from cornelgrade.schema import messages, outcome_codec, peer
from cornelgrade.services import ports

_MEMBER_TEXT_FIELDS = ("vm", "failure_domain", "region")
_MEMBER_ADDRESS_FIELDS = ("peer_address", "worker_address", "gateway_address")
_MEMBER_FIXED_BYTES = 48
_RUMOR_FIXED_BYTES = 40
_SIGHTING_BYTES = 18
_MS_PER_S = 1000
_MAX_AGE_MS = 2**32 - 1
MAX_DATAGRAM_BYTES = 1200
MEMBERS_BUDGET_BYTES = 1050
RUMORS_BUDGET_BYTES = 300


class MalformedError(ValueError):
    """The bytes are not a datagram of this schema."""


def _estimate_text_bytes(text: str) -> int:
    size = len(text) + 1
    return size + size // 8 + 2


def estimate_member_bytes(member: ports.Member) -> int:
    """Estimate the encoded size of a membership record."""
    texts = (getattr(member, name) for name in _MEMBER_TEXT_FIELDS + _MEMBER_ADDRESS_FIELDS)
    return _MEMBER_FIXED_BYTES + sum(map(_estimate_text_bytes, texts))


def estimate_rumor_bytes(rumor: messages.Rumor) -> int:
    """Estimate the encoded size of a rumor."""
    names = ("source", "upstream", "fingerprint")
    texts = [rumor.origin, *(getattr(rumor.message, name, "") for name in names)]
    sightings_bytes = _SIGHTING_BYTES * len(getattr(rumor.message, "sightings", ()))
    return _RUMOR_FIXED_BYTES + sightings_bytes + sum(map(_estimate_text_bytes, texts))


def _write_member(out: Any, member: ports.Member) -> None:
    out.vm = member.vm
    out.failureDomain = member.failure_domain
    out.region = member.region
    out.incarnation = member.incarnation
    out.state = member.state.value
    out.peerAddress = member.peer_address
    out.workerAddress = member.worker_address
    out.gatewayAddress = member.gateway_address
    out.manifestVersion = member.manifest_version


def _read_member(raw: Any) -> ports.Member:
    return ports.Member(
        vm=raw.vm,
        failure_domain=raw.failureDomain,
        region=raw.region,
        incarnation=raw.incarnation,
        state=ports.MemberState(str(raw.state)),
        peer_address=raw.peerAddress,
        worker_address=raw.workerAddress,
        gateway_address=raw.gatewayAddress,
        manifest_version=raw.manifestVersion,
    )


def _write_probe(out: Any, field: str, body: Any) -> None:
    out.init(field).number = body.number


def _write_probe_request(out: Any, field: str, body: messages.ProbeRequest) -> None:
    builder = out.init(field)
    builder.number = body.number
    builder.vm = body.vm


def _write_void(out: Any, field: str, body: Any) -> None:
    setattr(out, field, None)


def _write_version(out: Any, field: str, body: messages.Version) -> None:
    out.version = body.version


def _write_load(out: Any, field: str, body: ports.Load) -> None:
    builder = out.init(field)
    builder.upstream = body.upstream
    builder.outstanding = body.outstanding
    builder.queued = body.queued


def _write_slots(out: Any, field: str, body: ports.Yield | ports.Share) -> None:
    builder = out.init(field)
    builder.upstream = body.upstream
    builder.slots = body.slots


def _write_quarantined(out: Any, field: str, body: ports.Quarantined) -> None:
    builder = out.init(field)
    builder.fingerprint = body.fingerprint
    builder.crashes = body.crashes
    builder.expiresS = body.expires_s
    builder.source = body.source
    builder.seen = body.seen
    sightings = builder.init("sightings", len(body.sightings))
    for i, sighting in enumerate(body.sightings):
        sightings[i].crash = sighting.crash
        sightings[i].ageMs = min(int(sighting.age_s * _MS_PER_S), _MAX_AGE_MS)
        sightings[i].exact = sighting.exact
        sightings[i].attributed = sighting.attributed
        sightings[i].weak = sighting.weak


def _write_upstream_crashed(out: Any, field: str, body: ports.UpstreamCrashed) -> None:
    builder = out.init(field)
    builder.source = body.source
    builder.upstream = body.upstream
    builder.inFlight = body.in_flight
    builder.suspects = body.suspects
    builder.fingerprint = body.fingerprint


def _write_leaving(out: Any, field: str, body: ports.Leaving) -> None:
    builder = out.init(field)
    builder.upstream = body.upstream
    builder.startedMs = body.started_ms


def _write_uses(out: Any, field: str, body: messages.Uses) -> None:
    builder = out.init(field, len(body.uses))
    for i, use in enumerate(body.uses):
        builder[i].upstream = use.upstream
        builder[i].online = use.online
        builder[i].batch = use.batch
        if use.teams:
            teams = builder[i].init("teams", len(use.teams))
            for number, entry in enumerate(use.teams):
                teams[number].team = entry.team
                teams[number].online = entry.online
        if use.over_share:
            builder[i].overShare = list(use.over_share)
        builder[i].tookMs = use.took_ms


def _write_job_claims(out: Any, field: str, body: messages.JobClaims) -> None:
    builder = out.init(field, len(body.claims))
    for i, claim in enumerate(body.claims):
        builder[i].job = claim.job
        builder[i].running = _encode_bitmap(claim.running)
        builder[i].done = _encode_bitmap(claim.done)
        builder[i].receivedMs = claim.received_ms
        failed = builder[i].init("failed", len(claim.failed))
        for number, entry in enumerate(claim.failed):
            failed[number].item = entry.item
            failed[number].failures = entry.failures


def _write_store_progress(out: Any, field: str, body: messages.StoreProgress) -> None:
    builder = out.init(field, len(body.followed))
    for i, (kind, revision) in enumerate(body.followed):
        builder[i].kind = kind
        builder[i].revision = revision


def _write_stream_origins(out: Any, field: str, body: messages.StreamOrigins) -> None:
    builder = out.init(field, len(body.origins))
    for i, origin in enumerate(body.origins):
        builder[i].request = origin.request
        builder[i].service = origin.service
        builder[i].version = origin.version


def _write_stream_origin_query(out: Any, field: str, body: messages.StreamOriginQuery) -> None:
    setattr(out, field, body.request)


def _write_upstream_limits(out: Any, field: str, body: messages.UpstreamLimits) -> None:
    builder = out.init(field, len(body.limits))
    for i, limit in enumerate(body.limits):
        builder[i].upstream = limit.upstream
        builder[i].startedMs = limit.started_ms
        builder[i].perS = limit.per_s


def _write_allowance_request(out: Any, field: str, body: messages.AllowanceRequest) -> None:
    builder = out.init(field)
    _write_limit_key(builder, body.key)
    builder.wanted = body.wanted
    builder.used = body.used


def _write_allowance_grant(out: Any, field: str, body: messages.AllowanceGrant) -> None:
    builder = out.init(field)
    _write_limit_key(builder, body.key)
    builder.tokens = body.tokens
    builder.waitS = body.wait_s
    builder.expectedS = body.expected_s


def _write_limit_key(builder: Any, key: shared_allowance.LimitKey) -> None:
    builder.upstream = key.name
    builder.startedMs = key.started_ms
    builder.isTeam = key.is_team


def _read_limit_key(raw: Any) -> shared_allowance.LimitKey:
    return shared_allowance.LimitKey(raw.upstream, raw.startedMs, raw.isTeam)


def _write_reach_report(out: Any, field: str, body: messages.ReachReport) -> None:
    builder = out.init(field)
    builder.services = list(body.services)
    builder.active = body.active


def _write_upstream_query(out: Any, field: str, body: messages.UpstreamQuery) -> None:
    builder = out.init(field)
    builder.upstream = body.upstream
    builder.startedMs = body.started_ms


def _write_upstream_responds(out: Any, field: str, body: messages.UpstreamResponds) -> None:
    setattr(out, field, body.upstream)


def _encode_bitmap(number: int) -> bytes:
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def _read_uses(raw: Any) -> messages.Uses:
    return messages.Uses(
        tuple(
            messages.UpstreamUse(
                use.upstream,
                use.online,
                use.batch,
                tuple(messages.TeamUse(entry.team, entry.online) for entry in use.teams),
                tuple(use.overShare),
                use.tookMs,
            )
            for use in raw
        )
    )


def _read_job_claims(raw: Any) -> messages.JobClaims:
    return messages.JobClaims(
        tuple(
            messages.JobClaim(
                claim.job,
                int.from_bytes(claim.running, "little"),
                int.from_bytes(claim.done, "little"),
                tuple(messages.ItemFailures(entry.item, entry.failures) for entry in claim.failed),
                claim.receivedMs,
            )
            for claim in raw
        )
    )


_WRITERS: dict[type, tuple[str, Callable[[Any, str, Any], None]]] = {
    messages.Ping: ("ping", _write_probe),
    messages.Ack: ("ack", _write_probe),
    messages.ProbeRequest: ("probeRequest", _write_probe_request),
    messages.Join: ("join", _write_void),
    messages.Roster: ("roster", _write_void),
    messages.Version: ("version", _write_version),
    messages.Uses: ("uses", _write_uses),
    messages.JobClaims: ("jobClaims", _write_job_claims),
    messages.StoreProgress: ("storeProgress", _write_store_progress),
    messages.StreamOrigins: ("streamOrigins", _write_stream_origins),
    messages.StreamOriginQuery: ("streamOriginQuery", _write_stream_origin_query),
    messages.UpstreamLimits: ("upstreamLimits", _write_upstream_limits),
    messages.AllowanceRequest: ("allowanceRequest", _write_allowance_request),
    messages.AllowanceGrant: ("allowanceGrant", _write_allowance_grant),
    messages.ReachQuery: ("reachQuery", _write_void),
    messages.ReachReport: ("reachReport", _write_reach_report),
    messages.UpstreamQuery: ("upstreamQuery", _write_upstream_query),
    messages.UpstreamResponds: ("upstreamResponds", _write_upstream_responds),
    messages.UpstreamOutcome: ("upstreamOutcome", outcome_codec.write_upstream_outcome),
    messages.Ejections: ("ejections", outcome_codec.write_ejections),
    ports.Load: ("load", _write_load),
    ports.Yield: ("yield", _write_slots),
    ports.Share: ("share", _write_slots),
    ports.Quarantined: ("quarantined", _write_quarantined),
    ports.UpstreamCrashed: ("upstreamCrashed", _write_upstream_crashed),
    ports.Leaving: ("leaving", _write_leaving),
}

_MESSAGE_READERS: dict[str, Callable[[Any], ports.PeerMessage]] = {
    "load": lambda raw: ports.Load(raw.upstream, raw.outstanding, raw.queued),
    "yield": lambda raw: ports.Yield(raw.upstream, raw.slots),
    "share": lambda raw: ports.Share(raw.upstream, raw.slots),
    "quarantined": lambda raw: ports.Quarantined(
        raw.fingerprint,
        raw.crashes,
        raw.expiresS,
        raw.source,
        raw.seen,
        tuple(
            ports.CrashSighting(
                sighting.crash,
                sighting.ageMs / _MS_PER_S,
                sighting.exact,
                sighting.attributed,
                sighting.weak,
            )
            for sighting in raw.sightings
        ),
    ),
    "upstreamCrashed": lambda raw: ports.UpstreamCrashed(
        raw.source, raw.upstream, raw.inFlight, raw.suspects, raw.fingerprint
    ),
    "leaving": lambda raw: ports.Leaving(raw.upstream, raw.startedMs),
}

_READERS: dict[str, Callable[[Any], messages.Body]] = {
    "ping": lambda raw: messages.Ping(raw.number),
    "ack": lambda raw: messages.Ack(raw.number),
    "probeRequest": lambda raw: messages.ProbeRequest(raw.number, raw.vm),
    "join": lambda raw: messages.Join(),
    "roster": lambda raw: messages.Roster(),
    "version": lambda raw: messages.Version(raw),
    "uses": _read_uses,
    "jobClaims": _read_job_claims,
    "storeProgress": lambda raw: messages.StoreProgress(
        tuple((entry.kind, entry.revision) for entry in raw)
    ),
    "streamOrigins": lambda raw: messages.StreamOrigins(
        tuple(messages.StreamOrigin(o.request, o.service, o.version) for o in raw)
    ),
    "streamOriginQuery": lambda raw: messages.StreamOriginQuery(raw),
    "upstreamLimits": lambda raw: messages.UpstreamLimits(
        tuple(messages.UpstreamLimit(entry.upstream, entry.startedMs, entry.perS) for entry in raw)
    ),
    "allowanceRequest": lambda raw: messages.AllowanceRequest(
        _read_limit_key(raw), raw.wanted, raw.used
    ),
    "allowanceGrant": lambda raw: messages.AllowanceGrant(
        _read_limit_key(raw), raw.tokens, raw.waitS, raw.expectedS
    ),
    "reachQuery": lambda raw: messages.ReachQuery(),
    "reachReport": lambda raw: messages.ReachReport(tuple(raw.services), raw.active),
    "upstreamQuery": lambda raw: messages.UpstreamQuery(raw.upstream, raw.startedMs),
    "upstreamResponds": lambda raw: messages.UpstreamResponds(raw),
    "upstreamOutcome": outcome_codec.read_upstream_outcome,
    "ejections": outcome_codec.read_ejections,
    **_MESSAGE_READERS,
}


def encode(datagram: messages.Datagram) -> bytes:
    """Encode a datagram, without its tag."""
    out = peer.Datagram.new_message()
    out.sender = datagram.sender
    out.session = datagram.session
    out.sequence = datagram.sequence
    out.sentMs = int(datagram.sent_s * _MS_PER_S)
    out.planVersion = datagram.plan_version
    field, write = _WRITERS[type(datagram.body)]
    write(out, field, datagram.body)
    if datagram.members:
        members = out.init("members", len(datagram.members))
        for i, member in enumerate(datagram.members):
            _write_member(members[i], member)
    if datagram.rumors:
        rumors = out.init("rumors", len(datagram.rumors))
        for i, rumor in enumerate(datagram.rumors):
            _write_rumor(rumors[i], rumor)
    return out.to_bytes_packed()


def _write_rumor(out: Any, rumor: messages.Rumor) -> None:
    out.origin = rumor.origin
    out.number = rumor.number
    field, write = _WRITERS[type(rumor.message)]
    write(out, field, rumor.message)


def _read_rumor(raw: Any) -> messages.Rumor:
    kind = str(raw.which())
    return messages.Rumor(raw.origin, raw.number, _MESSAGE_READERS[kind](getattr(raw, kind)))


def decode(raw: bytes) -> messages.Datagram:
    """Decode a datagram.

    :raises MalformedError: if the bytes are not a datagram.
    """
    try:
        datagram = peer.Datagram.from_bytes_packed(raw)
        kind = str(datagram.which())
        return messages.Datagram(
            sender=datagram.sender,
            session=datagram.session,
            sequence=datagram.sequence,
            sent_s=datagram.sentMs / _MS_PER_S,
            body=_READERS[kind](getattr(datagram, kind)),
            members=tuple(_read_member(m) for m in datagram.members),
            rumors=tuple(_read_rumor(r) for r in datagram.rumors),
            plan_version=datagram.planVersion,
        )
    except (*peer.DecodeError, KeyError) as exc:
        raise MalformedError(str(exc)) from exc
