"""Load reports of engines and signs that backend servers leave."""

import asyncio
from collections.abc import Callable

import structlog

from oriolegauge.backends import BackendServer, EngineClient
from oriolegauge.config import ConfigTree
from oriolegauge.config.configtree import SERVERS_KEY
from oriolegauge.core.errors import OriolegaugeError, ServerFailedError
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.membership import LeavingServers, LeavingSource
from oriolegauge.platform import ObjectStore

REPORT_PERIOD_S = 1.0
# With the time of one call this stays below the 3 s from the first sign.
HOST_LIST_PERIOD_S = 2.0
# Reports count requests; the router weighs tokens.
TOKENS_PER_REQUEST = 256.0

log = structlog.get_logger()


class ServerWatch:
    """Ask engines and the platform about backend servers."""

    def __init__(
        self,
        *,
        tree: ConfigTree,
        pool: ServerPool,
        engines: EngineClient,
        store: ObjectStore,
        leaving: LeavingServers,
        clock: Callable[[], float],
    ) -> None:
        """Feed `pool` and `leaving`; `clock` is in seconds."""
        self._tree = tree
        self._pool = pool
        self._engines = engines
        self._store = store
        self._leaving = leaving
        self._clock = clock

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_reports())
            group.create_task(self._read_hosts())

    def apply_config(self) -> None:
        """Note which servers the configuration marks as leaving."""
        version = self._tree.versions.get(SERVERS_KEY, 0)
        for name, entry in self._tree.servers.engines.items():
            self._leaving.configure(
                name,
                leaving=entry.leaving,
                version=version,
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
        self._pool.report(server.name, jobs * TOKENS_PER_REQUEST, now)
        self._leaving.sign(
            server.name,
            LeavingSource.LOAD_REPORT,
            leaving=bool(report.get('leaving')),
            now=now,
        )

    async def _read_hosts(self) -> None:
        while True:
            try:
                hosts = await self._store.hosts()
            except OriolegaugeError as error:
                log.info('host list not read', error=error.message)
                hosts = []
            for host in hosts:
                self._leaving.sign(
                    host.name,
                    LeavingSource.HOST_LIST,
                    leaving=host.state != 'live',
                    now=self._clock(),
                )
            await asyncio.sleep(HOST_LIST_PERIOD_S)
