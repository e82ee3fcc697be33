"""Verbs that manage teams and their caller keys."""

import time
from collections.abc import Mapping
from typing import Any, Literal

from oriolegauge.cli.errors import EditConflictError, UsageError
from oriolegauge.cli.operator import editable_part
from oriolegauge.cli.session import Session
from oriolegauge.config import hash_key, new_key
from oriolegauge.config.configtree import TEAM_PREFIX
from oriolegauge.core.errors import NotFoundError

PriorityName = Literal['urgent', 'normal', 'batch']
SECONDS_PER_DAY = 86_400
MIN_HASH_CHARACTERS = 8


class TeamVerbs:
    """Manage teams and their caller keys."""

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
                guard=_require_no_team,
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
        require_team(stored.value)
        return {**editable_part(stored.value), 'version': stored.version}

    def delete(self, team: str) -> dict[str, Any]:
        """Delete a team and its keys; its budgets stay for billing.

        :param team: name of the team
        """
        return self._change(team, lambda tree: {'deleted': True})

    def set_priority(self, team: str, priority: PriorityName) -> dict[str, Any]:
        """Set the highest priority class of a team.

        :param team: name of the team
        :param priority: new highest priority class
        """
        return self._change(team, lambda tree: {**tree, 'priority': priority})

    def allow_server(
        self, team: str, *, servers: list[str], only: bool = False
    ) -> dict[str, Any]:
        """Add backend servers to those that a team may use.

        :param team: name of the team
        :param servers: names of model engines; an asterisk means all
        :param only: allow only these servers instead of adding them
        """

        def allow(tree: dict[str, Any]) -> dict[str, Any]:
            before = [] if only else tree.get('servers', ['*'])
            # An explicit list of servers replaces the permission for all.
            named = [name for name in before if name != '*']
            if '*' in servers:
                return {**tree, 'servers': ['*']}
            return {**tree, 'servers': list(dict.fromkeys(named + servers))}

        return self._change(team, allow)

    def create_key(
        self, budget: str, *, expires_in_days: float | None = None
    ) -> dict[str, Any]:
        """Create a caller key and print it; it is shown only once.

        :param budget: budget from which calls with the key are paid, TEAM/NAME
        :param expires_in_days: days until the key expires; never by default
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
        hash_prefix = hash_key(key) if '.' in key else key
        if len(hash_prefix) < MIN_HASH_CHARACTERS:
            raise UsageError('give at least 8 digits of the hash')

        def revoke(tree: dict[str, Any]) -> dict[str, Any]:
            found = [
                row
                for row in tree.get('keys', {})
                if row.startswith(hash_prefix)
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
                TEAM_PREFIX + team, change, guard=require_team
            )
        )
        return {'team': team, 'version': stored.version}


def require_team(value: Mapping[str, Any]) -> None:
    """Raise NotFoundError if the team does not exist or was deleted."""
    if not value or value.get('deleted'):
        raise NotFoundError('no such team')


def split_budget(budget: str) -> tuple[str, str]:
    """Return the team and the name from TEAM/NAME.

    Raise UsageError for text of another form.
    """
    team, separator, name = budget.partition('/')
    if not (team and separator and name):
        raise UsageError(f'{budget!r} does not have the form TEAM/NAME')
    return team, name


def _require_no_team(value: Mapping[str, Any]) -> None:
    if value and not value.get('deleted'):
        raise EditConflictError('the team already exists')
