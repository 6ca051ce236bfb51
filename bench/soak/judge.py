"""Judges what callers and engines of the soak saw against what the system promises."""

import collections

from bench.soak import callers, world
from cornelgrade.platform.standins import stream_engine
from cornelgrade.services.edge import item_call

# Faults of a gateway that may break an answer; being told to stop is none.
_BREAKING = frozenset(("kill", "freeze", "start"))
# A change of the plan or of an entry is known everywhere after this long, if the store is reached.
IN_FORCE_S = 3.0
# After a fault on the way to the store, a process may need a watch's retry to learn of a change.
CATCH_UP_S = 6.0
# From an answer that says that its engine leaves until nothing is sent there any more.
DRAIN_S = 2.0
# From the acknowledgement of a cancellation until no item of the job begins any more.
CANCEL_S = 3.0
# The wall clocks of this process and of the others are read at different moments.
SLACK_S = 0.3
# How long news of a crash may take, and the runs of a request that crashes engines after that.
SPREAD_S = 3.0
CULPRIT_CRASHES = 3
PART_CRASHES = 5
MAX_LATE_RUNS = 3
# From the moment at which an engine first names a rate limit until all VMs keep to it together.
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
# From a cut off all engines until a gateway has its callers served through others.
STRANDING_KNOWN_S = 3.0
# From the end of such a cut until the gateway sends to its engines directly again.
RETURN_S = 3.0
_REFUSED = frozenset((429, 503))
_UNAUTHORIZED = 401
_ATTEMPTS = {world.ONCE: 1, world.RESUMED: world.MAX_ATTEMPTS}


class Judge:
    """Compares what was seen with what was promised; problems gather in ``problems``."""

    def __init__(self, system: world.World, seen: callers.Callers) -> None:
        self.system = system
        self.seen = seen
        self.problems: list[str] = list(system.problems)
        # Which requests may get 401 is for :mod:`team_judge` to check.
        self._refused = _REFUSED | ({_UNAUTHORIZED} if system.keyring.teams else set())
        self._attempts: dict[str, list[tuple[str, stream_engine.ReceivedRequest]]] = (
            collections.defaultdict(list)
        )
        for name, engine in system.engines.items():
            for attempt in engine.stand_in.seen:
                self._attempts[attempt.request].append((name, attempt))

    def all(self) -> list[str]:
        """Check everything and give what is wrong."""
        for req in self.seen.requests:
            self._online(req)
        for job in self.seen.jobs:
            self._job(job)
        for engine in self.system.engines.values():
            self._leaving(engine)
            self._says_leaving(engine)
            self._limits(engine)
        self._stranded()
        self._versions()
        self._plans()
        self._culprits()
        self._logs()
        return self.problems

    def _online(self, req: callers.Request) -> None:
        attempts = self._attempts[req.id]
        ran = _list_runs(attempts)
        if req.path == world.ONCE and len(ran) > 1:
            self._problem(req, f"ran {len(ran)} times")
        if len(ran) > world.MAX_ATTEMPTS:
            self._problem(req, f"was sent to {len(ran)} engines")
        if req.status in self._refused and ran:
            self._problem(req, f"refused with {req.status} as not run, but ran on {ran}")
        if req.status == 200 and req.whole:
            body, _ = stream_engine.split_versions(req.body)
            whole = stream_engine.response_body(req.id, world.EVENTS, req.after)
            if body != whole and not self._ended_early(req, body, whole):
                self._problem(req, f"got another answer: {req.body[:80]!r}")
        elif req.status not in self._refused and not self._excused(req):
            self._problem(req, f"status {req.status} without a fault on its way: {req.error}")

    def _ended_early(self, req: callers.Request, body: bytes, whole: bytes) -> bool:
        """Whether a running engine ended an answer that can't be asked for again.

        An answer without framing ends with its connection; only an end inside an event shows that
        it was broken off.
        """
        engines = {name for name, _ in self._attempts[req.id]}
        return (
            req.path == world.ONCE
            and whole.startswith(body)
            and body.endswith(b"\n\n")
            and any(
                w.fault == world.ENDS_EARLY and w.part in engines
                for w in self.system.windows
                if w.touches(req.begin_s, req.end_s)
            )
        )

    def _excused(self, req: callers.Request) -> bool:
        """Whether its gateway or an engine that it reached had a fault meanwhile."""
        windows = [w for w in self.system.windows if w.touches(req.begin_s, req.end_s)]
        engines = {name for name, _ in self._attempts[req.id]}
        if any(w.part in engines or w.part == world.OWN for w in windows):
            return True
        faults = {w.fault for w in windows if w.part == req.gateway}
        if faults & _BREAKING:
            return True
        if self._lost_its_way(req):
            return True
        if req.status == 0 and not engines:
            # A connection that closes as a request is sent on it carries nothing to an engine.
            return "stop" in faults
        # An attempt that was lost on its way to an engine is not seen there.
        unseen = len(engines) < _ATTEMPTS[req.path]
        return unseen and any(w.part in self.system.engines for w in windows)

    def _lost_its_way(self, req: callers.Request) -> bool:
        """Whether its gateway had just lost its engines, or served it through one that broke."""
        gateways = {daemon.name for daemon in self.system.gateways}
        for cut in self.system.windows:
            if (cut.part, cut.fault) != (req.gateway, world.STRANDED):
                continue
            if cut.touches(req.begin_s - RETURN_S, req.end_s):
                known_s = cut.begin_s + STRANDING_KNOWN_S
                return req.begin_s < known_s or any(
                    w.part in gateways and w.fault in _BREAKING
                    for w in self.system.windows
                    if w.touches(req.begin_s, req.end_s)
                )
        return False

    def _stranded(self) -> None:
        """Check that callers of gateways without engines are served nearly as often as others."""
        cuts = [w for w in self.system.windows if w.fault == world.STRANDED]
        spans = {(w.begin_s + STRANDING_KNOWN_S, w.end_s) for w in cuts}
        for begin_s, end_s in sorted(spans):
            at = {w.part for w in cuts if w.touches(begin_s, end_s)}
            sound = {daemon.name for daemon in self.system.gateways} - at
            sound -= {vm for vm in sound if self.system.touched({vm}, begin_s, end_s)}
            if not sound:
                continue
            during = [r for r in self.seen.requests if begin_s <= r.begin_s < end_s]
            there = [req for req in during if req.gateway in at]
            elsewhere = [req for req in during if req.gateway in sound]
            failed = sum(not _is_served(req) for req in there)
            enough = 2 / 3 * _served_share(elsewhere)
            if failed > 10 + len(during) / 50 and _served_share(there) < enough:
                self.problems.append(f"{failed} of {len(there)} failed at {sorted(at)}")

    def _versions(self) -> None:
        """Check that no stream has events of two versions, over all attempts of its caller."""
        versions: dict[str, set[str]] = collections.defaultdict(set)
        for req in self.seen.requests:
            versions[req.first or req.id] |= stream_engine.split_versions(req.body)[1]
        for first, found in versions.items():
            if len(found) > 1:
                self.problems.append(f"the stream of {first} has events of {sorted(found)}")
        for job in self.seen.jobs:
            for item in job.items:
                self._item_versions(item)

    def _item_versions(self, item: str) -> None:
        """Check that an item goes on only at a version at which it began."""
        begun: set[str] = set()
        for _, attempt in sorted(self._attempts[item], key=lambda entry: entry[1].at_s):
            # An engine may have come back with another version since.
            version = attempt.version
            if attempt.resumed_after is None:
                begun.add(version)
            elif attempt.ran and version not in begun:
                self.problems.append(f"{item} went on at {version}, but began at {sorted(begun)}")

    def _job(self, job: callers.Job) -> None:
        if job.accepted_s is None:
            self.problems.append(f"{job.id} was never accepted")
        elif job.ended_s is not None:
            self._ended(job, job.ended_s)
        elif sorted(name for name, _, _ in job.results) != sorted(job.items):
            names = [name for name, _, _ in job.results]
            self.problems.append(f"{job.id} has results of {names} at the end")
        for name, state, text in job.results:
            if state == "completed" and text != stream_engine.result_text(name, world.EVENTS):
                self.problems.append(f"{name} has another text: {text!r}")
            if state != "completed" and not self._failed(name):
                self.problems.append(f"{name} is {state} although no engine failed it")

    def _failed(self, item: str) -> bool:
        """Whether an engine that an item reached had a fault while it was there."""
        return any(
            self.system.touched({name}, at.at_s - SLACK_S, at.at_s + item_call.RESPONSE_TIMEOUT_S)
            for name, at in self._attempts[item]
        )

    def _ended(self, job: callers.Job, ended_s: float) -> None:
        workers = {d.name for d in self.system.daemons.values() if d.role == world.WORKER}
        paths = {f"{name} to store" for name in workers} | {"store"}
        for item in job.items:
            for name, attempt in self._attempts[item]:
                # A worker learns nothing from a store that stands still with this process.
                stalled_s = self.system.stalled_s(ended_s, attempt.at_s)
                late = attempt.at_s > ended_s + CANCEL_S + stalled_s
                begin_s = ended_s - SLACK_S
                if late and not self.system.touched(workers | paths, begin_s, attempt.at_s):
                    self.problems.append(f"{item} came to {name} after its job was cancelled")

    def _leaving(self, engine: world.Engine) -> None:
        if engine.left_s is None:
            return
        parts = set(self.system.daemons) | set(_store_paths(self.system)) | {"store"}
        for attempt in engine.stand_in.seen:
            late = attempt.at_s > engine.left_s + IN_FORCE_S
            begin_s = engine.left_s - CATCH_UP_S
            if late and not self.system.touched(parts, begin_s, attempt.at_s):
                name = engine.stand_in.name
                self.problems.append(f"{attempt.request} came to {name} after it left")

    def _says_leaving(self, engine: world.Engine) -> None:
        """Check what a VM sends to an engine after it passed on that the engine leaves."""
        if engine.said_leaving_s is None:
            return
        requests = {req.id: req for req in self.seen.requests}
        told_s: dict[str, float] = {}
        for attempt in engine.stand_in.seen:
            req = requests.get(attempt.request)
            if req and req.status == 200 and req.whole and attempt.at_s > engine.said_leaving_s:
                told_s[req.gateway] = min(req.end_s, told_s.get(req.gateway, req.end_s))
        for attempt in engine.stand_in.seen:
            req = requests.get(attempt.request)
            if req is None or req.gateway not in told_s:
                continue
            since_s = told_s[req.gateway]
            late = req.begin_s > since_s + DRAIN_S
            if late and not self.system.touched({req.gateway}, since_s, req.begin_s):
                self._problem(req, f"came to {engine.stand_in.name}, which had said it leaves")

    def _limits(self, engine: world.Engine) -> None:
        """Check that an engine got no more than the rate limits that it named allow."""
        for limit in engine.limits:
            allowed = 1.5 * limit.per_s * LIMIT_WINDOW_S + 5
            for begin_s in engine.stand_in.arrivals_s:
                end_s = begin_s + LIMIT_WINDOW_S
                if not limit.begin_s + LIMIT_KNOWN_S <= begin_s <= limit.end_s - LIMIT_WINDOW_S:
                    continue
                got = self._count_arrivals(engine, limit.begin_s, begin_s, end_s)
                if got > allowed:
                    name = engine.stand_in.name
                    self.problems.append(f"{name} got {got} in 4 s at a limit of {limit.per_s:.1f}")
                    break

    def _count_arrivals(
        self, engine: world.Engine, known_s: float, begin_s: float, end_s: float
    ) -> int:
        """Count what came to an engine in a span, without that of VMs that had a fault.

        :param known_s: faults since then excuse a VM.
        """
        if self.system.touched({world.OWN}, begin_s, end_s):
            return 0
        gateway_of = {req.id: req.gateway for req in self.seen.requests}
        seen = [a for a in engine.stand_in.seen if begin_s <= a.at_s < end_s]
        if not self.system.touched(set(self.system.daemons), known_s, end_s):
            return sum(begin_s <= at_s < end_s for at_s in engine.stand_in.arrivals_s)
        senders = [gateway_of[a.request] for a in seen if a.request in gateway_of]
        return sum(not self.system.touched({vm}, known_s, end_s) for vm in senders)

    def _plans(self) -> None:
        latest: dict[str, int] = collections.defaultdict(int)
        for look in sorted(self.seen.marks, key=lambda m: m.begin_s):
            if look.served and look.version < latest[look.gateway]:
                self.problems.append(f"{look.gateway} went back to plan {look.version}")
            if look.served:
                latest[look.gateway] = max(latest[look.gateway], look.version)
            self._in_force(look)

    def _in_force(self, look: callers.Mark) -> None:
        written_s = self.system.plans[look.version]
        replaced_s = self.system.plans.get(look.version + 1)
        parts = {look.gateway, f"{look.gateway} to store", "store"}
        if replaced_s is None and not look.served and look.begin_s > written_s + IN_FORCE_S:
            begin_s = written_s - CATCH_UP_S
        elif replaced_s is not None and look.served and look.begin_s > replaced_s + IN_FORCE_S:
            begin_s = replaced_s - CATCH_UP_S
        else:
            return
        if not self.system.touched(parts, begin_s, look.end_s):
            self.problems.append(f"{look} is not what was in force")

    def _culprits(self) -> None:
        """Check how often requests that crash engines, by text or by part, ran once known."""
        seen = [a for engine in self.system.engines.values() for a in engine.stand_in.seen if a.ran]
        texts = [a.at_s for a in seen if a.body == world.CULPRIT]
        parts = [a.at_s for a in seen if world.CULPRIT_PART in stream_engine.list_prompt_parts(a)]
        self._late_runs("the crashing request", sorted(texts), CULPRIT_CRASHES)
        self._late_runs("requests with the crashing part", sorted(parts), PART_CRASHES)

    def _late_runs(self, what: str, begun_s: list[float], crashes: int) -> None:
        if len(begun_s) < crashes:
            return
        settled_s = begun_s[crashes - 1] + SPREAD_S
        late = [round(at_s - settled_s, 1) for at_s in begun_s if at_s > settled_s]
        if len(late) > MAX_LATE_RUNS:
            self.problems.append(f"{what} ran {late} s after it was known")

    def _logs(self) -> None:
        for daemon in self.system.daemons.values():
            text = daemon.log.read_text(errors="replace")
            for word in ("Traceback", "event=failed"):
                if word in text:
                    at = text.index(word)
                    self.problems.append(f"{daemon.name} logged {text[at : at + 400]!r}")

    def _problem(self, req: callers.Request, what: str) -> None:
        took_s = req.end_s - req.begin_s
        self.problems.append(f"{req.id} at {req.gateway} on {req.path}, {took_s:.2f} s: {what}")


def _list_runs(attempts: list[tuple[str, stream_engine.ReceivedRequest]]) -> list[str]:
    """Return the engines that ran a request, each as often as it ran anew or after another one.

    An engine that is asked for what follows an event goes on with its run, if an answer to the
    request had no framing: its end has to be confirmed wherever the request goes on.
    """
    ran = sorted(((a.at_s, name, a) for name, a in attempts if a.ran), key=lambda run: run[0])
    runs: list[str] = []
    unconfirmed = False
    for _, name, attempt in ran:
        asked = attempt.resumed_after is not None and unconfirmed
        if not (asked and runs[-1:] == [name]):
            runs.append(name)
        unconfirmed = unconfirmed or attempt.unframed
    return runs


def _served_share(requests: list[callers.Request]) -> float:
    return sum(map(_is_served, requests)) / max(1, len(requests))


def _is_served(req: callers.Request) -> bool:
    return req.status == 200 and req.whole


def _store_paths(system: world.World) -> list[str]:
    return [f"{name} to store" for name in system.daemons]
