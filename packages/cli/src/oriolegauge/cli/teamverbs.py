"""Verbs on teams and their caller keys."""

import time
from collections.abc import Mapping
from typing import Any, Literal

from oriolegauge.cli.errors import EditConflictError, UsageError
from oriolegauge.cli.operator import editable
from oriolegauge.cli.session import Session
from oriolegauge.config import hash_key, new_key
from oriolegauge.config.configtree import TEAM_PREFIX
from oriolegauge.core.errors import NotFoundError

PriorityName = Literal['urgent', 'normal', 'batch']
SECONDS_PER_DAY = 86_400
MIN_HASH_CHARACTERS = 8


class TeamVerbs:
    """Change the subtrees of teams."""

    def __init__(self, session: Session) -> None:
        """Use the session."""
        self._session = session

    def create(
        self, team: str, *, priority: PriorityName = 'normal'
    ) -> dict[str, Any]:
        """Create a team, which may use all models, servers and services.

        :param team: name of the team
        :param priority: highest priority class of the team
        """
        stored = self._session.run(
            lambda operator: operator.change(
                TEAM_PREFIX + team,
                lambda tree: {'priority': priority},
                guard=_must_not_exist,
            )
        )
        return {'team': team, 'version': stored.version}

    def show_all(self) -> list[dict[str, Any]]:
        """List the teams."""
        found = self._session.run(
            lambda operator: operator.list_objects(TEAM_PREFIX)
        )
        return [
            {
                'team': stored.key.removeprefix(TEAM_PREFIX),
                'priority': stored.value.get('priority', 'normal'),
                'keys': len(stored.value.get('keys', {})),
                'version': stored.version,
            }
            for stored in found
            if not stored.value.get('deleted')
        ]

    def show(self, team: str) -> dict[str, Any]:
        """Show the subtree of a team.

        :param team: name of the team
        """
        stored = self._session.run(
            lambda operator: operator.read(TEAM_PREFIX + team)
        )
        must_exist(stored.value)
        return {**editable(stored.value), 'version': stored.version}

    def delete(self, team: str) -> dict[str, Any]:
        """Delete a team and its keys; its budgets stay for the bill.

        :param team: name of the team
        """
        return self._change(team, lambda tree: {'deleted': True})

    def set_priority(self, team: str, priority: PriorityName) -> dict[str, Any]:
        """Set the highest priority class of a team.

        :param team: name of the team
        :param priority: the class
        """
        return self._change(team, lambda tree: {**tree, 'priority': priority})

    def allow_server(
        self, team: str, *, servers: list[str], only: bool = False
    ) -> dict[str, Any]:
        """Add backend servers to the ones that a team may use.

        :param team: name of the team
        :param servers: names of model engines; an asterisk stands for all
        :param only: allow only these instead of adding them
        """

        def allow(tree: dict[str, Any]) -> dict[str, Any]:
            before = [] if only else tree.get('servers', ['*'])
            # A list that names servers ends the permission for all of them.
            named = [name for name in before if name != '*']
            if '*' in servers:
                return {**tree, 'servers': ['*']}
            return {**tree, 'servers': list(dict.fromkeys(named + servers))}

        return self._change(team, allow)

    def create_key(
        self, budget: str, *, expires_in_days: float | None = None
    ) -> dict[str, Any]:
        """Create a caller key for a budget and print it, only this once.

        :param budget: budget that the key draws on, TEAM/NAME
        :param expires_in_days: time after which the key is refused
        """
        team, name = split_budget(budget)
        key = new_key(team)
        entry: dict[str, Any] = {'budget': name}
        if expires_in_days is not None:
            lifetime_s = expires_in_days * SECONDS_PER_DAY
            entry['expires_unix_s'] = int(time.time() + lifetime_s)
        self._change(
            team,
            lambda tree: {
                **tree,
                'keys': {**tree.get('keys', {}), hash_key(key): entry},
            },
        )
        return {'key': key, **entry}

    def show_keys(self, team: str) -> list[dict[str, Any]]:
        """List the hashes of the caller keys of a team.

        :param team: name of the team
        """
        tree = self.show(team)
        return [
            {'hash': key_hash, **entry}
            for key_hash, entry in tree.get('keys', {}).items()
        ]

    def revoke_key(self, team: str, key: str) -> dict[str, Any]:
        """Revoke a caller key.

        :param team: name of the team
        :param key: the key, its hash or the first 8 or more digits of the hash
        """
        wanted = hash_key(key) if '.' in key else key
        if len(wanted) < MIN_HASH_CHARACTERS:
            raise UsageError('give at least 8 digits of the hash')

        def revoke(tree: dict[str, Any]) -> dict[str, Any]:
            found = [
                row for row in tree.get('keys', {}) if row.startswith(wanted)
            ]
            if len(found) != 1:
                raise NotFoundError(f'{len(found)} keys of {team} match')
            kept = {
                row: entry
                for row, entry in tree['keys'].items()
                if row != found[0]
            }
            return {**tree, 'keys': kept}

        return self._change(team, revoke)

    def _change(self, team: str, change: Any) -> dict[str, Any]:
        stored = self._session.run(
            lambda operator: operator.change(
                TEAM_PREFIX + team, change, guard=must_exist
            )
        )
        return {'team': team, 'version': stored.version}


def must_exist(value: Mapping[str, Any]) -> None:
    """Raise NotFoundError if the value is not that of a live team."""
    if not value or value.get('deleted'):
        raise NotFoundError('no such team')


def split_budget(budget: str) -> tuple[str, str]:
    """Return team and name of TEAM/NAME; raise UsageError otherwise."""
    team, separator, name = budget.partition('/')
    if not (team and separator and name):
        raise UsageError(f'{budget!r} is not TEAM/NAME')
    return team, name


def _must_not_exist(value: Mapping[str, Any]) -> None:
    if value and not value.get('deleted'):
        raise EditConflictError('the team exists')
