"""Refusals of the record service."""

from cornelgrade import errors
from cornelgrade.adapters import platform
from cornelgrade.services import ports

STEP = "record"
RETRY_AFTER_S = 2.0
STILL_RUNNING_RETRY_S = 1.0


def conflict(claim: ports.Claim) -> errors.Refusal:
    """Say that the key belongs to another body."""
    message = f"key {claim.key} was used for another request"
    return errors.Refusal(errors.Code.CONFLICT, message, step=STEP)


def unknown(claim: ports.Claim) -> errors.Refusal:
    """Say that the request was dispatched once, and that its end was never seen."""
    message = f"the request with key {claim.key} may have run; it will not run again"
    return errors.Refusal(errors.Code.OUTCOME_UNKNOWN, message, step=STEP, ran=errors.Ran.UNKNOWN)


def still_running(claim: ports.Claim) -> errors.Refusal:
    """Say that an earlier attempt has not ended within the wait."""
    return errors.Refusal(
        errors.Code.DEADLINE,
        f"the request with key {claim.key} is still running",
        step=STEP,
        ran=errors.Ran.UNKNOWN,
        retry_after_s=STILL_RUNNING_RETRY_S,
    )


def not_recorded() -> errors.Refusal:
    """Say that this attempt did not run, because its run record could not be made."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        "the run record could not be made; this attempt did not run",
        step=STEP,
        retry_after_s=RETRY_AFTER_S,
        peer="platform",
    )


def unreadable(exc: platform.UnavailableError) -> errors.Refusal:
    """Say that the record cannot be read for now."""
    return errors.Refusal(
        errors.Code.UNAVAILABLE,
        f"the record cannot be read now: {exc.message}",
        step=STEP,
        ran=errors.Ran.UNKNOWN,
        retry_after_s=exc.retry_after_s or RETRY_AFTER_S,
        peer="platform",
    )
