"""Verbs that manage operators and their tokens."""

from collections.abc import Sequence
from typing import Any, Literal

from oriolegauge.cli.session import Session
from oriolegauge.config import hash_key, new_token
from oriolegauge.config.configtree import OPERATORS_KEY
from oriolegauge.core.errors import NotFoundError

Row = dict[str, Any]


class OperatorVerbs:
    """Create, show and revoke operators."""

    def __init__(self, session: Session) -> None:
        """Use the session."""
        self._session = session

    def create(
        self,
        name: str,
        *,
        role: Literal['read', 'operate', 'admin'],
        subtrees: Sequence[str] = (),
    ) -> Row:
        """Create an operator and print the token, which is shown only once.

        :param name: name of the operator
        :param role: what the operator may do
        :param subtrees: keys that the operator may change, and all below them
        """
        token = new_token(name)
        entry = {
            'token_hash': hash_key(token),
            'role': role,
            'subtrees': list(subtrees),
        }

        def add(tree: Row) -> Row:
            operators = tree.get('operators', {})
            return {**tree, 'operators': {**operators, name: entry}}

        self._change(add)
        return {'token': token, 'role': role, 'subtrees': list(subtrees)}

    def show_all(self) -> list[Row]:
        """List the operators."""
        stored = self._session.run(
            lambda operator: operator.read(OPERATORS_KEY)
        )
        return [
            {'name': name, **entry}
            for name, entry in stored.value.get('operators', {}).items()
        ]

    def revoke(self, name: str) -> Row:
        """Revoke the token of an operator.

        :param name: name of the operator
        """

        def drop(tree: Row) -> Row:
            operators = dict(tree.get('operators', {}))
            if operators.pop(name, None) is None:
                raise NotFoundError(f'no operator {name}')
            return {**tree, 'operators': operators}

        return {'name': name, 'version': self._change(drop)}

    def _change(self, change: Any) -> int:
        return self._session.run(
            lambda operator: operator.change(OPERATORS_KEY, change)
        ).version
