"""Poll load reports of engines and the platform's host list.

Both tell which backend servers are leaving, so that these get no new requests
before they shut down.
"""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from oriolegauge.backends import BackendServer, EngineClient
from oriolegauge.config import ConfigTree
from oriolegauge.config.configtree import SERVERS_KEY
from oriolegauge.core.errors import OriolegaugeError, ServerFailedError
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.membership import LeavingServers, LeavingSource
from oriolegauge.objectstore import ObjectStore

REPORT_PERIOD_S = 1.0
# Servers must get no new requests from 3 s after the first signal that they
# leave; the period plus the time of one call stays below that.
HOST_LIST_PERIOD_S = 2.0
# Converts the requests of a load report to tokens, the unit of the router.
TOKENS_PER_REQUEST = 256.0
LIVE = 'live'

log = structlog.get_logger()


class ServerWatch:
    """Poll engines and the platform for the state of backend servers."""

    def __init__(
        self,
        *,
        tree: ConfigTree,
        pool: ServerPool,
        engines: EngineClient,
        store: ObjectStore,
        leaving: LeavingServers,
        reads_host_list: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Update `pool` and `leaving`; `clock` is in seconds.

        The host list is read only while `reads_host_list` returns true.
        """
        self._tree = tree
        self._pool = pool
        self._engines = engines
        self._store = store
        self._leaving = leaving
        self._reads_host_list = reads_host_list
        self._clock = clock
        self._leaving_by_host: Mapping[str, bool] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_reports())
            group.create_task(self._read_hosts())

    def apply_config(self) -> None:
        """Record which servers the configuration marks as leaving."""
        version = self._tree.versions.get(SERVERS_KEY, 0)
        for name, entry in self._tree.servers.engines.items():
            self._leaving.configure(
                name,
                leaving=entry.leaving,
                version=version,
                now=self._clock(),
            )

    @property
    def leaving_by_host(self) -> Mapping[str, bool]:
        """Return by server whether it leaves, from the last read host list."""
        return self._leaving_by_host

    def record_host_states(self, leaving_by_host: Mapping[str, bool]) -> None:
        """Record a host list that was read here or by a peer."""
        for name, leaving in leaving_by_host.items():
            self._leaving.note_signal(
                name,
                LeavingSource.HOST_LIST,
                leaving=leaving,
                now=self._clock(),
            )

    async def _read_reports(self) -> None:
        while True:
            await asyncio.gather(
                *(self._read_report(one) for one in self._pool.engines())
            )
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _read_report(self, server: BackendServer) -> None:
        try:
            report = await self._engines.control(server, 'GET', '/load')
        except ServerFailedError:
            return
        now = self._clock()
        jobs = float(report.get('active', 0)) + float(report.get('waiting', 0))
        models = report.get('models')
        self._pool.record_load_report(
            server.name,
            jobs * TOKENS_PER_REQUEST,
            now,
            models=None if models is None else frozenset(models),
        )
        self._leaving.note_signal(
            server.name,
            LeavingSource.LOAD_REPORT,
            leaving=bool(report.get('leaving')),
            now=now,
        )

    async def _read_hosts(self) -> None:
        while True:
            if self._reads_host_list():
                await self._read_host_list()
            await asyncio.sleep(HOST_LIST_PERIOD_S)

    async def _read_host_list(self) -> None:
        try:
            hosts = await self._store.hosts()
        except OriolegaugeError as error:
            log.info('host list not read', error=error.message)
            return
        engines = self._tree.servers.engines
        self._leaving_by_host = {
            host.name: host.state != LIVE
            for host in hosts
            if host.name in engines
        }
        self.record_host_states(self._leaving_by_host)
