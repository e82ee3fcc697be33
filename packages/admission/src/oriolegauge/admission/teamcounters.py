"""Tokens served per team, so that the least served team goes first."""

from collections.abc import Collection

# Above this number the counters of idle teams are dropped, lowest first: a
# returning team starts from that of the least served waiting team anyway.
MAX_TEAMS = 4096


class TeamCounters:
    """Count tokens served; idle time of a team earns it no credit."""

    def __init__(self) -> None:
        """Create counters without any team."""
        self._tokens: dict[str, float] = {}
        self._idle_level: float = 0

    def __getitem__(self, team: str) -> float:
        return self._tokens.get(team, self._idle_level)

    def enter(self, team: str, waiting: Collection[str]) -> None:
        """Raise an idle team to the count of the least served waiting team."""
        if waiting:
            self._idle_level = min(self[other] for other in waiting)
        self._tokens[team] = max(self[team], self._idle_level)
        if len(self._tokens) > MAX_TEAMS:
            self._drop_idle_teams({*waiting, team})

    def charge(self, team: str, tokens: float) -> None:
        """Add served tokens; a negative number corrects a prediction."""
        if team in self._tokens:
            self._tokens[team] += tokens

    def leave(self, team: str, waiting: Collection[str]) -> None:
        """Keep the count of a team whose last waiting job was removed.

        It is the start for new teams while no other team waits.
        """
        if not waiting:
            self._idle_level = max(self._idle_level, self[team])

    def _drop_idle_teams(self, kept: set[str]) -> None:
        idle = sorted(set(self._tokens) - kept, key=self._tokens.__getitem__)
        for team in idle[: len(self._tokens) - MAX_TEAMS // 2]:
            self._tokens.pop(team)
