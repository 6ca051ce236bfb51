"""Teams of the soak and their keys, which change with versions of the plan."""

import random

from cornelgrade import routes
from cornelgrade.policy import token_bucket

# Marks the keys, so that one can be found wherever it does not belong.
KEY_PREFIX = "soak-secret"
# A team whose callers send about as much as it may, and seven times as much while it is hot.
HOT_TEAM, HOT_LIMIT, HOT_FACTOR = "low", token_bucket.RateLimit(3.0, 3.0), 7.0
# A team without a limit, for calls that must not be refused for their rate.
FREE_TEAM = "free"
TEAMS = (
    routes.Team(FREE_TEAM),
    routes.Team("bounded", rank=1, rate_limit=token_bucket.RateLimit(12.0, 6.0)),
    routes.Team(HOT_TEAM, rank=2, rate_limit=HOT_LIMIT),
)
# Share of requests whose key was taken away.
REMOVED_SHARE = 0.25


class Keyring:
    """The keys of all teams; without teams it gives empty keys, which stand for none.

    :ivar current: the keys of each team in the latest version, the two that stay first.
    :ivar team_of: the team of each key that there ever was; no team for no key.
    :ivar versions: the keys of each version of the plan, and when its write began.
    """

    def __init__(self, teams: tuple[routes.Team, ...] | None) -> None:
        self.teams = teams
        self.team_of = {"": ""}
        self.names = [team.name for team in teams or ()] or [""]
        self.current = {name: [self._make_key(name) for _ in range(3)] for name in self.names}
        self.versions: dict[int, tuple[frozenset[str], float]] = {}

    def _make_key(self, team: str) -> str:
        key = f"{KEY_PREFIX}-{len(self.team_of)}-of-{team}" if team else ""
        self.team_of[key] = team
        return key

    def rotate(self, rng: random.Random) -> None:
        """Take a key away from a team and add another one."""
        team = rng.choice(self.names)
        self.current[team][2] = self._make_key(team)

    def record_version(self, version: int, begin_s: float) -> None:
        """Note the keys of a version of the plan whose write begins, on trio's clock."""
        self.versions[version] = (frozenset(sum(self.current.values(), [])), begin_s)

    def draw(self, rng: random.Random, team: str = "") -> str:
        """Draw a key of one team or any, at times one that was taken away."""
        held = self.current[team or rng.choice(self.names)]
        removed = [k for k, t in self.team_of.items() if t == self.team_of[held[0]]]
        removed = [key for key in removed if key not in held]
        return rng.choice(removed if removed and rng.random() < REMOVED_SHARE else held)

    def lasting(self, team: str, number: int = 0) -> str:
        """Return one of the two keys of a team that are in all versions."""
        return self.current[team if self.teams else ""][number]

    def other_team(self, team: str) -> str:
        """Return a team that is not this one."""
        return self.names[(self.names.index(team) + 1) % len(self.names)]
