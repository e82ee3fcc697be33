"""Verbs that manage model engines and plain services."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Literal

from oriolegauge.cli.errors import UsageError
from oriolegauge.cli.operator import Operator
from oriolegauge.cli.session import Session
from oriolegauge.config.configtree import SERVERS_KEY, SERVICES_KEY
from oriolegauge.core.errors import NotFoundError
from oriolegauge.objectstore import StoredObject

Method = Literal['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE']
Entry = dict[str, Any]


class _TableVerbs:
    """Manage the entries of a table in a subtree, such as the engines."""

    _key = ''
    _table = ''

    def __init__(self, session: Session) -> None:
        """Use the session."""
        self._session = session

    def show_all(self) -> list[Entry]:
        """List the entries."""
        stored = self._session.run(lambda operator: operator.read(self._key))
        return [
            {'name': name, **entry}
            for name, entry in stored.value.get(self._table, {}).items()
        ]

    def remove(self, name: str) -> Entry:
        """Remove an entry.

        :param name: name of the entry
        """
        return self._change(name, lambda entry: None)

    def _add(self, name: str, entry: Entry) -> Entry:
        async def add(operator: Operator) -> StoredObject:
            return await operator.change(
                self._key,
                lambda tree: {
                    **tree,
                    self._table: {**tree.get(self._table, {}), name: entry},
                },
            )

        return {'name': name, 'version': self._session.run(add).version}

    def _change(
        self, name: str, change: Callable[[Entry], Entry | None]
    ) -> Entry:
        def apply(tree: Entry) -> Entry:
            entries = dict(tree.get(self._table, {}))
            changed = change(dict(entries.pop(name)))
            if changed is not None:
                entries[name] = changed
            return {**tree, self._table: entries}

        def must_exist(tree: Mapping[str, Any]) -> None:
            if name not in tree.get(self._table, {}):
                raise NotFoundError(f'no entry {name} in {self._key}')

        stored = self._session.run(
            lambda operator: operator.change(self._key, apply, guard=must_exist)
        )
        return {'name': name, 'version': stored.version}


class ServerVerbs(_TableVerbs):
    """Manage the model engines."""

    _key = SERVERS_KEY
    _table = 'engines'

    def add(
        self,
        name: str,
        *,
        url: str,
        models: list[str],
        zone: str = 'a',
        obeys_fencing: bool = True,
        can_resume: bool = True,
    ) -> Entry:
        """Add or replace a model engine.

        :param name: name of the engine
        :param url: URL by IP address
        :param models: models that the engine can serve
        :param zone: availability zone
        :param obeys_fencing: the engine rejects orders with old fencing numbers
        :param can_resume: the engine can continue a stream from the text so far
        """
        return self._add(
            name,
            {
                'url': url,
                'zone': zone,
                'models': models,
                'obeys_fencing': obeys_fencing,
                'can_resume': can_resume,
            },
        )

    def leave(self, name: str, *, undo: bool = False) -> Entry:
        """Send no new requests to a model engine.

        :param name: name of the engine
        :param undo: send new requests to it again
        """
        return self._change(name, lambda entry: {**entry, 'leaving': not undo})


class ServiceVerbs(_TableVerbs):
    """Manage the plain services."""

    _key = SERVICES_KEY
    _table = 'services'

    def add(
        self,
        name: str,
        *,
        urls: list[str],
        tokens_per_call: int = 1,
        non_idempotent_methods: Sequence[Method] = ('POST',),
        timeout_s: float = 30,
    ) -> Entry:
        """Add or replace a plain service.

        :param name: name of the service
        :param urls: backend servers of the service, each as NAME=URL
        :param tokens_per_call: price of a call in tokens
        :param non_idempotent_methods: HTTP methods that must not be retried
        :param timeout_s: time limit of a call in seconds
        """
        named = dict(_named_url(text) for text in urls)
        return self._add(
            name,
            {
                'urls': named,
                'tokens_per_call': tokens_per_call,
                'non_idempotent_methods': list(non_idempotent_methods),
                'timeout_s': timeout_s,
            },
        )


def _named_url(text: str) -> tuple[str, str]:
    name, separator, url = text.partition('=')
    if not separator:
        raise UsageError(f'{text!r} does not have the form NAME=URL')
    return name, url
