"""Rates of limited servers in the store, for daemons that start.

Matters when all daemons stop at once: each would send requests as to a server
without a limit until its first reply.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverlimits import (
    ReportedLimit,
    ServerLimits,
    parse_rate,
)
from oriolegauge.objectstore import ObjectStore, StoreError

# Changes within this time are written together, and failed calls repeated.
PERIOD_S = 1.0
# A reply known to any daemon is newer than the record.
RECORD_AGE_S = 86_400.0
_NAME = 'named'
_SOURCE = 'store'

log = structlog.get_logger()

Rates = Mapping[ServerInstance, float]


class LimitRecord:
    """Read the recorded rates at the start, and keep the record up to date."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        kind: str,
        limits: ServerLimits,
        is_writer: Callable[[], bool],
    ) -> None:
        """Write only while `is_writer()` is true, which holds for one daemon.

        Two writers at once only cause version conflicts.
        """
        self._store = store
        self._key = f'{kind}/{_NAME}'
        self._limits = limits
        self._is_writer = is_writer
        self._version = 0
        self._recorded: Rates | None = None

    async def run(self) -> None:
        """Read the record, then write changes of the rates until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log.info('server limits not recorded', error=error.message)
                self._recorded = None
            await asyncio.sleep(PERIOD_S)

    async def _step(self) -> None:
        if self._recorded is None:
            await self._read()
        named = self._named()
        if named == self._recorded or not self._is_writer():
            return
        # Another daemon may have written since.
        await self._read()
        if self._named() == self._recorded:
            return
        named = self._named()
        stored = await self._store.put(
            self._key, _encoded(named), self._version
        )
        self._version = stored.version
        self._recorded = named
        log.info('server limits recorded', servers=len(named))

    async def _read(self) -> None:
        found = await self._store.get(self._key)
        is_first = self._version == 0
        self._recorded = _decoded(found.value) if found else {}
        self._version = found.version if found else 0
        if is_first:
            self._limits.learn(
                [
                    ReportedLimit(server_instance, per_s, RECORD_AGE_S)
                    for server_instance, per_s in self._recorded.items()
                ],
                _SOURCE,
            )

    def _named(self) -> Rates:
        return {
            limit.server_instance: limit.per_s
            for limit in self._limits.all()
            if limit.per_s is not None
        }


def _encoded(rates: Rates) -> Mapping[str, Any]:
    return {
        'servers': [
            {
                'server': server_instance.instance,
                'started_ms': server_instance.started_ms,
                'per_s': per_s,
            }
            for server_instance, per_s in rates.items()
        ]
    }


def _decoded(value: Mapping[str, Any]) -> Rates:
    rates = {}
    try:
        for row in value['servers']:
            per_s = parse_rate(str(row['per_s']))
            if per_s is not None:
                server_instance = ServerInstance(
                    str(row['server']), int(row['started_ms'])
                )
                rates[server_instance] = per_s
    except (KeyError, TypeError, ValueError) as error:
        log.warning('record of server limits is unfit', error=repr(error))
    return rates
