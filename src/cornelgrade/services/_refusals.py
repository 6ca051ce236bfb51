"""Builds the refusals of the ``records`` service."""

from cornelgrade import errors
from cornelgrade.adapters import platform
from cornelgrade.services import ports

STEP = "record"
RETRY_AFTER_S = 2.0
STILL_RUNNING_RETRY_S = 1.0


def conflict(claim: ports.Claim) -> errors.Refusal:
    """Return the refusal of a key that was used with another body."""
    message = f"key {claim.key} was used for another request"
    return errors.Refusal(errors.Code.CONFLICT, message, step=STEP)


def unknown(claim: ports.Claim) -> errors.Refusal:
    """Return the refusal of a request that was dispatched and whose outcome is unknown."""
    message = f"the request with key {claim.key} may have run; it will not run again"
    return errors.Refusal(errors.Code.OUTCOME_UNKNOWN, message, step=STEP, ran=errors.Ran.UNKNOWN)


def still_running(claim: ports.Claim) -> errors.Refusal:
    """Return the refusal of a request whose earlier attempt is still running after the wait."""
    return errors.Refusal(
        errors.Code.DEADLINE,
        f"the request with key {claim.key} is still running",
        step=STEP,
        ran=errors.Ran.UNKNOWN,
        retry_after_s=STILL_RUNNING_RETRY_S,
    )


def not_recorded() -> errors.Refusal:
    """Return the refusal of an attempt that did not run because its record was not written."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        "the run record could not be made; this attempt did not run",
        step=STEP,
        retry_after_s=RETRY_AFTER_S,
        peer="platform",
    )


def unreadable(exc: platform.UnavailableError) -> errors.Refusal:
    """Return the refusal of a request whose record can't be read now."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"the record cannot be read now: {exc.message}",
        step=STEP,
        ran=errors.Ran.UNKNOWN,
        retry_after_s=exc.retry_after_s or RETRY_AFTER_S,
        peer="platform",
    )
