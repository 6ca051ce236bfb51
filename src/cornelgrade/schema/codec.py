"""Turns :class:`messages.Datagram` into packed Cap'n Proto bytes and back."""

from collections.abc import Callable
from typing import Any

from cornelgrade.schema import messages, peer
from cornelgrade.services import ports

_MEMBER_TEXTS = ("vm", "failure_domain", "region")
_ADDRESSES = ("peer_address", "worker_address", "gateway_address")
_MEMBER_FIXED_BYTES = 48
_RUMOR_FIXED_BYTES = 40
_MS_PER_S = 1000
MAX_BYTES = 1200
MEMBERS_ROOM_BYTES = 1050
RUMORS_ROOM_BYTES = 300


class MalformedError(ValueError):
    """Bytes that are no datagram of this schema."""


def _packed_text(text: str) -> int:
    size = len(text) + 1
    return size + size // 8 + 2


def member_bytes(member: ports.Member) -> int:
    """Estimate the room that a membership record takes in a datagram."""
    texts = (getattr(member, name) for name in _MEMBER_TEXTS + _ADDRESSES)
    return _MEMBER_FIXED_BYTES + sum(map(_packed_text, texts))


def rumor_bytes(rumor: messages.Rumor) -> int:
    """Estimate the room that a rumor takes in a datagram."""
    names = ("source", "upstream", "fingerprint")
    texts = [rumor.origin, *(getattr(rumor.message, name, "") for name in names)]
    return _RUMOR_FIXED_BYTES + sum(map(_packed_text, texts))


def _put_member(out: Any, member: ports.Member) -> None:
    out.vm = member.vm
    out.failureDomain = member.failure_domain
    out.region = member.region
    out.incarnation = member.incarnation
    out.state = member.state.value
    out.peerAddress = member.peer_address
    out.workerAddress = member.worker_address
    out.gatewayAddress = member.gateway_address
    out.manifestVersion = member.manifest_version


def _get_member(raw: Any) -> ports.Member:
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


def _put_probe(out: Any, field: str, body: Any) -> None:
    out.init(field).number = body.number


def _put_probe_request(out: Any, field: str, body: messages.ProbeRequest) -> None:
    made = out.init(field)
    made.number = body.number
    made.vm = body.vm


def _put_void(out: Any, field: str, body: Any) -> None:
    setattr(out, field, None)


def _put_version(out: Any, field: str, body: messages.Version) -> None:
    out.version = body.version


def _put_load(out: Any, field: str, body: ports.Load) -> None:
    made = out.init(field)
    made.upstream = body.upstream
    made.outstanding = body.outstanding
    made.queued = body.queued


def _put_slots(out: Any, field: str, body: ports.Yield | ports.Share) -> None:
    made = out.init(field)
    made.upstream = body.upstream
    made.slots = body.slots


def _put_quarantined(out: Any, field: str, body: ports.Quarantined) -> None:
    made = out.init(field)
    made.fingerprint = body.fingerprint
    made.crashes = body.crashes
    made.expiresS = body.expires_s
    made.source = body.source


def _put_upstream_crashed(out: Any, field: str, body: ports.UpstreamCrashed) -> None:
    made = out.init(field)
    made.source = body.source
    made.upstream = body.upstream
    made.inFlight = body.in_flight
    made.suspects = body.suspects
    made.fingerprint = body.fingerprint


def _put_leaving(out: Any, field: str, body: ports.Leaving) -> None:
    out.init(field).upstream = body.upstream


def _put_uses(out: Any, field: str, body: messages.Uses) -> None:
    made = out.init(field, len(body.uses))
    for i, use in enumerate(body.uses):
        made[i].upstream = use.upstream
        made[i].online = use.online
        made[i].batch = use.batch


def _put_job_claims(out: Any, field: str, body: messages.JobClaims) -> None:
    made = out.init(field, len(body.claims))
    for i, claim in enumerate(body.claims):
        made[i].job = claim.job
        made[i].running = _bits(claim.running)
        made[i].done = _bits(claim.done)


def _bits(number: int) -> bytes:
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def _get_uses(raw: Any) -> messages.Uses:
    return messages.Uses(
        tuple(messages.UpstreamUse(use.upstream, use.online, use.batch) for use in raw)
    )


def _get_job_claims(raw: Any) -> messages.JobClaims:
    return messages.JobClaims(
        tuple(
            messages.JobClaim(
                claim.job,
                int.from_bytes(claim.running, "little"),
                int.from_bytes(claim.done, "little"),
            )
            for claim in raw
        )
    )


_PUT: dict[type, tuple[str, Callable[[Any, str, Any], None]]] = {
    messages.Ping: ("ping", _put_probe),
    messages.Ack: ("ack", _put_probe),
    messages.ProbeRequest: ("probeRequest", _put_probe_request),
    messages.Join: ("join", _put_void),
    messages.Roster: ("roster", _put_void),
    messages.Version: ("version", _put_version),
    messages.Uses: ("uses", _put_uses),
    messages.JobClaims: ("jobClaims", _put_job_claims),
    ports.Load: ("load", _put_load),
    ports.Yield: ("yield", _put_slots),
    ports.Share: ("share", _put_slots),
    ports.Quarantined: ("quarantined", _put_quarantined),
    ports.UpstreamCrashed: ("upstreamCrashed", _put_upstream_crashed),
    ports.Leaving: ("leaving", _put_leaving),
}

_GET_MESSAGE: dict[str, Callable[[Any], ports.PeerMessage]] = {
    "load": lambda raw: ports.Load(raw.upstream, raw.outstanding, raw.queued),
    "yield": lambda raw: ports.Yield(raw.upstream, raw.slots),
    "share": lambda raw: ports.Share(raw.upstream, raw.slots),
    "quarantined": lambda raw: ports.Quarantined(
        raw.fingerprint, raw.crashes, raw.expiresS, raw.source
    ),
    "upstreamCrashed": lambda raw: ports.UpstreamCrashed(
        raw.source, raw.upstream, raw.inFlight, raw.suspects, raw.fingerprint
    ),
    "leaving": lambda raw: ports.Leaving(raw.upstream),
}

_GET: dict[str, Callable[[Any], messages.Body]] = {
    "ping": lambda raw: messages.Ping(raw.number),
    "ack": lambda raw: messages.Ack(raw.number),
    "probeRequest": lambda raw: messages.ProbeRequest(raw.number, raw.vm),
    "join": lambda raw: messages.Join(),
    "roster": lambda raw: messages.Roster(),
    "version": lambda raw: messages.Version(raw),
    "uses": _get_uses,
    "jobClaims": _get_job_claims,
    **_GET_MESSAGE,
}


def encode(datagram: messages.Datagram) -> bytes:
    """Write a datagram, without its tag."""
    out = peer.Datagram.new_message()
    out.sender = datagram.sender
    out.session = datagram.session
    out.sequence = datagram.sequence
    out.sentMs = int(datagram.sent_s * _MS_PER_S)
    field, put = _PUT[type(datagram.body)]
    put(out, field, datagram.body)
    if datagram.members:
        members = out.init("members", len(datagram.members))
        for i, member in enumerate(datagram.members):
            _put_member(members[i], member)
    if datagram.rumors:
        rumors = out.init("rumors", len(datagram.rumors))
        for i, rumor in enumerate(datagram.rumors):
            _put_rumor(rumors[i], rumor)
    return out.to_bytes_packed()


def _put_rumor(out: Any, rumor: messages.Rumor) -> None:
    out.origin = rumor.origin
    out.number = rumor.number
    field, put = _PUT[type(rumor.message)]
    put(out, field, rumor.message)


def _get_rumor(raw: Any) -> messages.Rumor:
    kind = str(raw.which())
    return messages.Rumor(raw.origin, raw.number, _GET_MESSAGE[kind](getattr(raw, kind)))


def decode(raw: bytes) -> messages.Datagram:
    """Read a datagram.

    :raises MalformedError: if the bytes are none.
    """
    try:
        got = peer.Datagram.from_bytes_packed(raw)
        kind = str(got.which())
        return messages.Datagram(
            sender=got.sender,
            session=got.session,
            sequence=got.sequence,
            sent_s=got.sentMs / _MS_PER_S,
            body=_GET[kind](getattr(got, kind)),
            members=tuple(_get_member(m) for m in got.members),
            rumors=tuple(_get_rumor(r) for r in got.rumors),
        )
    except (*peer.DecodeError, KeyError) as exc:
        raise MalformedError(str(exc)) from exc
