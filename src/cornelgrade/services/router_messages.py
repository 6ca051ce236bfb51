"""Messages to the router, and its replies."""

import dataclasses
import enum

import result
import trio

from cornelgrade import errors
from cornelgrade.policy import admission, routing
from cornelgrade.services import ports

Reply = result.Result[str, errors.Refusal]


class Outcome(enum.Enum):
    """How the call that held a slot permit ended, for the upstream's health."""

    SUCCEEDED = "well"
    UNREACHABLE = "unreachable"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Acquire a slot permit for a request; the reply is the upstream's name or a refusal."""

    place: admission.Place
    service: str
    requirements: routing.Requirements
    fingerprint: str
    reply: trio.MemorySendChannel[Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAcquire:
    """Cancel the wait of a request for a slot permit."""

    place: admission.Place
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Release a slot permit."""

    upstream: str
    place: admission.Place
    outcome: Outcome
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """Report that an upstream crashed with requests in flight.

    :param recorded: set once the crash is reported to the quarantine.
    """

    upstream: str
    recorded: trio.Event


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSeen:
    """Report the software version that serves a call to an upstream."""

    upstream: str
    software_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """This gateway's outstanding requests at an upstream, and its part of the service's queue."""

    upstream: str
    failure_domain: str
    outstanding: int
    queued: int


Message = Acquire | CancelAcquire | Release | Crashed | VersionSeen | ports.Leaving | ports.Share
