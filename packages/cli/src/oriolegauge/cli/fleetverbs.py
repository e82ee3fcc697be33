"""Verbs that show and drain running daemons."""

import asyncio
from collections.abc import Mapping
from typing import Any

from oriolegauge.cli.adminclient import AdminClient
from oriolegauge.cli.budgetverbs import budget_rows
from oriolegauge.cli.operator import Operator
from oriolegauge.cli.session import Session
from oriolegauge.config.configtree import CONFIG_PREFIX, SERVERS_KEY
from oriolegauge.core import OriolegaugeError
from oriolegauge.core.errors import NotFoundError
from oriolegauge.objectstore import ObjectStore

Row = dict[str, Any]
EVACUATIONS_PREFIX = 'evacuations/'


class FleetVerbs:
    """Show and drain daemons."""

    def __init__(self, session: Session) -> None:
        """Use the session."""
        self._session = session

    def status(self) -> dict[str, list[Row]]:
        """Show daemons, backend servers, budgets and evacuated zones."""

        async def read(
            operator: Operator, store: ObjectStore, admin: AdminClient
        ) -> dict[str, list[Row]]:
            objects = {
                stored.key: stored
                for stored in await operator.list_objects(CONFIG_PREFIX)
            }
            versions = {key: row.version for key, row in objects.items()}
            urls = await self._admin_urls(store)
            daemons = await asyncio.gather(
                *(_daemon_row(admin, *row, versions) for row in urls.items())
            )
            servers = objects.get(SERVERS_KEY)
            shards = await operator.list_objects('budgets/')
            evacuations = await operator.list_objects(EVACUATIONS_PREFIX)
            return {
                'daemons': list(daemons),
                'servers': _server_rows(servers.value if servers else {}),
                'budgets': [
                    row for shard in shards for row in budget_rows(shard.value)
                ],
                'evacuations': [
                    {
                        'zone': stored.key.removeprefix(EVACUATIONS_PREFIX),
                        'revision': stored.version,
                    }
                    for stored in evacuations
                ],
            }

        return self._session.run_with_daemons(read)

    def drain(self, daemon: str) -> Row:
        """Drain a daemon, which finishes its requests and then stops.

        :param daemon: name or admin URL of the daemon
        """

        async def drain(
            operator: Operator, store: ObjectStore, admin: AdminClient
        ) -> Row:
            return await admin.drain(await self._admin_url(store, daemon))

        return self._session.run_with_daemons(drain)

    def dump(self, daemon: str) -> Row:
        """Show the complete state of a daemon.

        :param daemon: name or admin URL of the daemon
        """

        async def dump(
            operator: Operator, store: ObjectStore, admin: AdminClient
        ) -> Row:
            return await admin.state(await self._admin_url(store, daemon))

        return self._session.run_with_daemons(dump)

    def explain(
        self,
        url: str,
        *,
        host: str,
        path: str,
        key: str = '',
        bounds: str = '',
        parts: str = '',
        deadline_ms: str = '',
    ) -> Row:
        """Show where a daemon would send a request now, and why.

        Nothing is sent to a backend server.

        :param url: URL of the daemon's metrics listener
        :param host: host of the request
        :param path: path of the request
        :param key: caller key
        :param bounds: tokens of the prompt and at most of the output: 9190,60
        :param parts: parts of the prompt with their tokens: a:6300,b:2890
        :param deadline_ms: time until the caller's timeout
        """
        query = {
            'host': host,
            'path': path,
            'bounds': bounds,
            'parts': parts,
            'deadline_ms': deadline_ms,
        }

        async def explain(
            operator: Operator, store: ObjectStore, admin: AdminClient
        ) -> Row:
            return await admin.explain(url.rstrip('/'), query, key)

        return self._session.run_with_daemons(explain)

    async def _admin_url(self, store: ObjectStore, daemon: str) -> str:
        if '://' in daemon:
            return daemon.rstrip('/')
        urls = await self._admin_urls(store)
        if daemon not in urls:
            raise NotFoundError(f'no daemon {daemon}')
        return urls[daemon]

    async def _admin_urls(self, store: ObjectStore) -> dict[str, str]:
        options = self._session.options
        if options.daemons:
            return dict(map(_parse_daemon_url, options.daemons.split(',')))
        scheme = 'https' if options.ca else 'http'
        return {
            host.name: f'{scheme}://{host.address}:{options.admin_port}'
            for host in await store.hosts()
        }


def _parse_daemon_url(text: str) -> tuple[str, str]:
    name, separator, url = text.strip().partition('=')
    return (name, url.rstrip('/')) if separator else (name, name.rstrip('/'))


async def _daemon_row(
    admin: AdminClient, name: str, url: str, store_versions: Mapping[str, int]
) -> Row:
    try:
        state = await admin.state(url)
    except OriolegaugeError as error:
        return {
            'daemon': name,
            'lifecycle': 'unknown',
            'error': error.code.name.lower(),
        }
    held = state.get('config_versions', {})
    return {
        'daemon': name,
        'lifecycle': state.get('lifecycle'),
        'config_current': state.get('config_current'),
        'open_requests': state.get('open_requests'),
        'subtrees_behind': sum(
            version > held.get(key, 0)
            for key, version in store_versions.items()
        ),
        'subtrees_ahead': sum(
            version > store_versions.get(key, 0)
            for key, version in held.items()
        ),
    }


def _server_rows(servers: Mapping[str, Any]) -> list[Row]:
    return [
        {
            'server': name,
            'zone': entry['zone'],
            'models': entry['models'],
            'leaving': entry.get('leaving', False),
        }
        for name, entry in servers.get('engines', {}).items()
    ]
