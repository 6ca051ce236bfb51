"""Progress of one online request over its attempts."""

import dataclasses

from cornelgrade import errors
from cornelgrade.policy import routing


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of one request over its attempts.

    :param ran: whether the request may have run.
    :param tokens: tokens that were relayed to the caller.
    :param software_version: version of the upstream that generated them.
    :param version_named: whether that upstream itself named it.
    """

    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    ran: errors.Ran = errors.Ran.NO
    tokens: int = 0
    head_sent: bool = False
    software_version: str = ""
    version_named: bool = False

    def add_tokens(self, tokens: int) -> None:
        """Count tokens that were relayed to the caller."""
        self.tokens += tokens

    def continues(self, software_version: str, *, named: bool) -> bool:
        """Return whether a version may add tokens; the one that adds the first ones is recorded.

        :param named: whether the upstream itself names it.
        """
        if not self.tokens:
            self.software_version = software_version
            self.version_named = named
        return self.software_version == software_version

    def make_requirements(self, prefix: int, *, alone: bool) -> routing.Requirements:
        """Return where the next attempt may go."""
        return routing.Requirements(
            prefix=prefix,
            exclude=self.excluded,
            alone=alone,
            software_version=self.software_version if self.tokens else None,
            version_named=self.version_named,
        )
