"""Messages to the router, and its answers."""

import dataclasses
import enum

import result
import trio

from cornelgrade import errors
from cornelgrade.policy import admission, routing
from cornelgrade.services import ports

Reply = result.Result[str, errors.Refusal]


class Outcome(enum.Enum):
    """How the use of a seat ended, as far as the upstream's health goes."""

    SUCCEEDED = "well"
    UNREACHABLE = "unreachable"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """A request wants a seat; the reply names the upstream or refuses."""

    place: admission.Place
    service: str
    wish: routing.Wish
    fingerprint: str
    reply: trio.MemorySendChannel[Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAcquire:
    """A request no longer waits."""

    place: admission.Place
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A seat comes back."""

    upstream: str
    place: admission.Place
    outcome: Outcome
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """An upstream was found to have crashed with requests in flight.

    :param noted: set once the quarantine knows of it.
    """

    upstream: str
    recorded: trio.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What this gateway has at an upstream, and its part of what waits for the service."""

    upstream: str
    failure_domain: str
    outstanding: int
    queued: int


Message = Acquire | CancelAcquire | Release | Crashed | ports.Leaving | ports.Share
