"""How long the claim of another worker on a batch item holds after its last report."""

# A claim that a live worker no longer reports expires after six missed broadcasts.
CLAIM_TTL_S = 1.5
# VMs freeze and lose their links for 2 to 5 s. The upstream goes on with their items meanwhile.
SILENT_CLAIM_TTL_S = 5.5
# A worker that didn't run for this long may take the others' claims for expired.
MAX_PASS_GAP_S = 1.0
# After that it waits for two broadcasts of the others.
SETTLE_S = 0.6


def holds(age_s: float, *, unreported_s: float, slack_s: float) -> bool:
    """Return whether a claim holds.

    While there is time for a whole run later, the items of a worker that is silent are left to it:
    it may only be frozen or cut off, and if it has ended, the process that replaces it reports so.

    :param age_s: time since the worker last reported the claim.
    :param unreported_s: time from then until something else was last heard of the worker.
    :param slack_s: time until the item is due, without that for a whole run.
    """
    if unreported_s >= CLAIM_TTL_S:
        return False
    return age_s < CLAIM_TTL_S or (slack_s > 0 and age_s < SILENT_CLAIM_TTL_S)
