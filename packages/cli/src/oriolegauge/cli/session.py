"""Connections to the store and to daemons while a verb runs."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import aiohttp

from oriolegauge.cli.adminclient import AdminClient
from oriolegauge.cli.operator import Operator
from oriolegauge.cli.options import Options
from oriolegauge.objectstore import ObjectStore
from oriolegauge.objectstore.httpobjectstore import HttpObjectStore

_Result = TypeVar('_Result')


class Session:
    """Run the calls of a verb over connections set by the global options."""

    def __init__(self, options: Options) -> None:
        """Keep the options; connections are opened when a verb runs."""
        self.options = options

    def run(self, call: Callable[[Operator], Awaitable[_Result]]) -> _Result:
        """Run a call that reads or changes stored objects."""
        return asyncio.run(self._with_store(call))

    def run_with_store(
        self, call: Callable[[ObjectStore], Awaitable[None]]
    ) -> None:
        """Run a call that needs the store itself, for example to watch it."""
        asyncio.run(self._with_raw_store(call))

    def run_with_daemons(
        self,
        call: Callable[[Operator, ObjectStore, AdminClient], Awaitable[Any]],
    ) -> Any:
        """Run a call that needs the store and the admin ports of daemons."""
        return asyncio.run(self._with_daemons(call))

    async def _with_store(
        self, call: Callable[[Operator], Awaitable[_Result]]
    ) -> _Result:
        async with aiohttp.ClientSession() as http:
            return await call(self._operator(self._store(http)))

    async def _with_raw_store(
        self, call: Callable[[ObjectStore], Awaitable[None]]
    ) -> None:
        async with aiohttp.ClientSession() as http:
            await call(self._store(http))

    async def _with_daemons(
        self,
        call: Callable[[Operator, ObjectStore, AdminClient], Awaitable[Any]],
    ) -> Any:
        trust = (
            ssl.create_default_context(cafile=self.options.ca)
            if self.options.ca
            else True
        )
        async with aiohttp.ClientSession() as http:
            store = self._store(http)
            admin = AdminClient(
                session=http, token=self.options.token, trust=trust
            )
            return await call(self._operator(store), store, admin)

    def _store(self, http: aiohttp.ClientSession) -> HttpObjectStore:
        return HttpObjectStore(url=self.options.store, session=http)

    def _operator(self, store: ObjectStore) -> Operator:
        return Operator(
            store, author=self.options.author, token=self.options.token
        )
