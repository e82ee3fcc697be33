"""Tokens served per team, for a fair share between teams."""

from collections.abc import Collection

# Counters of idle teams are dropped past this number, lowest first, because
# a returning team is lifted to the least served waiting team anyway.
MAX_TEAMS = 4096


class TeamCounters:
    """Count tokens served; a team that returns collects no credit."""

    def __init__(self) -> None:
        """Start with no team."""
        self._tokens: dict[str, float] = {}
        self._floor: float = 0

    def __getitem__(self, team: str) -> float:
        return self._tokens.get(team, self._floor)

    def enter(self, team: str, waiting: Collection[str]) -> None:
        """Lift a team that was idle to the least served waiting team."""
        if waiting:
            self._floor = min(self[other] for other in waiting)
        self._tokens[team] = max(self[team], self._floor)
        if len(self._tokens) > MAX_TEAMS:
            self._prune({*waiting, team})

    def charge(self, team: str, tokens: float) -> None:
        """Add served tokens; a negative number corrects a prediction."""
        if team in self._tokens:
            self._tokens[team] += tokens

    def leave(self, team: str, waiting: Collection[str]) -> None:
        """Remember the level of service when the last job is taken."""
        if not waiting:
            self._floor = max(self._floor, self[team])

    def _prune(self, kept: set[str]) -> None:
        idle = sorted(set(self._tokens) - kept, key=self._tokens.__getitem__)
        for team in idle[: len(self._tokens) - MAX_TEAMS // 2]:
            self._tokens.pop(team)
