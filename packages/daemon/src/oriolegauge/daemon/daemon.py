"""Put the parts of one daemon together and run them."""

import asyncio
import random
import secrets
import time
from typing import Any

import aiohttp
import structlog
from aiohttp import web

from oriolegauge.backends import EngineClient, ServiceClient
from oriolegauge.budget import BudgetManager
from oriolegauge.config import (
    ConfigInvalidError,
    ConfigTree,
    DaemonSettings,
)
from oriolegauge.config.configtree import PREFIX
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.daemon.adminapi import AdminApi
from oriolegauge.daemon.callerapi import CallerApi
from oriolegauge.daemon.completions import Completions
from oriolegauge.daemon.dispatcher import Dispatcher
from oriolegauge.daemon.lifecycle import Lifecycle
from oriolegauge.daemon.requests import Requests
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.servicecalls import ServiceCalls
from oriolegauge.ledger import IntentLog, RequestLedger
from oriolegauge.platform import StoreError
from oriolegauge.platform.httpobjectstore import HttpObjectStore

WATCH_RETRY_S = 0.5
DRAIN_POLL_S = 0.05
ENGINE_IDLE_TIMEOUT_S = 30.0

log = structlog.get_logger()


class Daemon:
    """Run one router daemon until it is stopped."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Prepare a daemon with checked settings."""
        self._settings = settings
        self._lifecycle = Lifecycle()
        self._tree = ConfigTree()
        self._holder = f'{settings.name}/{secrets.token_hex(4)}'
        self._drain_asked = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    async def run(self) -> None:
        """Serve until a drain has finished."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            store = HttpObjectStore(
                url=self._settings.store_url, session=session
            )
            self._budgets = BudgetManager(
                store=store,
                holder=self._holder,
                shard_count=self._settings.budget_shards,
                clock=asyncio.get_running_loop().time,
            )
            # Entries of intents are dropped by age, so they carry Unix time.
            self._intents = IntentLog(
                store=store,
                holder=self._holder,
                shard_count=self._settings.intent_shards,
                clock=time.time,
            )
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._watch_config(store)),
                    group.create_task(self._flush_periodically()),
                ]
                await self._listen(session)
                tasks.append(
                    group.create_task(self._dispatcher.expire_periodically())
                )
                await self._drain_asked.wait()
                await self._finish()
                for task in tasks:
                    task.cancel()

    def start_drain(self) -> None:
        """Begin to drain; repeated calls do nothing."""
        self._lifecycle.drain()
        self._drain_asked.set()

    def state(self) -> dict[str, Any]:
        """Return the state dump, without prompts, answers or keys."""
        return {
            'name': self._settings.name,
            'holder': self._holder,
            'lifecycle': self._lifecycle.state,
            'config_versions': self._tree.versions,
            'open_requests': self._callers.open_requests,
            **self._dispatcher.state(),
        }

    async def _listen(self, session: aiohttp.ClientSession) -> None:
        settings = self._settings
        pool = ServerPool(tree=self._tree, is_leaving=lambda _: False)
        dispatcher = Dispatcher(
            pool=pool,
            zone=settings.zone,
            rng=random.Random(),
            clock=asyncio.get_running_loop().time,
        )
        self._dispatcher = dispatcher
        self._callers = CallerApi(
            settings=settings,
            tree=self._tree,
            lifecycle=self._lifecycle,
            requests=Requests(
                completions=Completions(
                    budgets=self._budgets,
                    engines=EngineClient(
                        session=session, idle_timeout_s=ENGINE_IDLE_TIMEOUT_S
                    ),
                    dispatcher=dispatcher,
                    default_max_tokens=settings.default_max_tokens,
                ),
                services=ServiceCalls(
                    tree=self._tree,
                    budgets=self._budgets,
                    services=ServiceClient(
                        session=session, timeout_s=settings.max_request_s
                    ),
                    dispatcher=dispatcher,
                ),
                ledger=RequestLedger(),
                intents=self._intents,
                clock=asyncio.get_running_loop().time,
            ),
        )
        admin = AdminApi(
            lifecycle=self._lifecycle,
            state=self.state,
            start_drain=self.start_drain,
        )
        await self._serve(self._callers.application(), settings.caller_port)
        await self._serve(admin.application(), settings.admin_port)
        log.info('listening', name=settings.name, port=settings.caller_port)

    async def _serve(self, app: web.Application, port: int) -> None:
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, self._settings.address, port).start()
        self._runners.append(runner)

    async def _watch_config(self, store: HttpObjectStore) -> None:
        while True:
            try:
                await self._follow(store)
            except StoreError as error:
                log.warning('configuration watch ended', error=str(error))
            await asyncio.sleep(WATCH_RETRY_S)

    async def _follow(self, store: HttpObjectStore) -> None:
        for stored in await store.list_objects(PREFIX):
            self._apply(stored)
        self._lifecycle.serve()
        highest = max(self._tree.versions.values(), default=0)
        async for stored in store.watch(PREFIX, highest):
            self._apply(stored)

    def _apply(self, stored) -> None:
        try:
            self._tree.apply(stored)
        except ConfigInvalidError as error:
            log.warning('configuration rejected', error=error.message)

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._settings.flush_period_s)
            try:
                await self._budgets.flush()
            except OriolegaugeError as error:
                log.warning('flush failed', error=error.message)

    async def _finish(self) -> None:
        await asyncio.sleep(self._settings.drain_notice_s)
        self._lifecycle.finish()
        while self._callers.open_requests:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._budgets.flush()
        for runner in self._runners:
            await runner.cleanup()
        self._lifecycle.stop()
        log.info('drained', name=self._settings.name)
