"""Rates of limited servers in the store, for daemons that start.

Matters when all daemons stop at once: each would send requests as to a server
without a limit until its first reply.
"""

from collections.abc import Callable, Mapping
from typing import Any

from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverlimits import (
    ReportedLimit,
    ServerLimits,
    parse_rate,
)
from oriolegauge.gateway.storerecord import StoreRecord
from oriolegauge.objectstore import RestorableStore

# A reply known to any daemon is newer than the record.
RECORD_AGE_S = 86_400.0
_NAME = 'named'
_SOURCE = 'store'

Rates = Mapping[ServerInstance, float]


class LimitRecord(StoreRecord[Rates]):
    """Record the rates that servers name."""

    def __init__(
        self,
        *,
        store: RestorableStore,
        kind: str,
        limits: ServerLimits,
        is_writer: Callable[[], bool],
    ) -> None:
        """Record in an object of the kind, as one of the daemons."""
        super().__init__(
            store=store, key=f'{kind}/{_NAME}', is_writer=is_writer
        )
        self._limits = limits

    def current(self) -> Rates:
        """Return the rate of each limited server."""
        return {
            limit.server_instance: limit.per_s
            for limit in self._limits.all()
            if limit.per_s is not None
        }

    def learn(self, recorded: Rates) -> None:
        """Use the recorded rates until a reply tells more."""
        self._limits.learn(
            [
                ReportedLimit(server_instance, per_s, RECORD_AGE_S)
                for server_instance, per_s in recorded.items()
            ],
            _SOURCE,
        )

    def encode(self, state: Rates) -> Mapping[str, Any]:
        """Return the stored form."""
        return {
            'servers': [
                {
                    'server': server_instance.instance,
                    'started_ms': server_instance.started_ms,
                    'per_s': per_s,
                }
                for server_instance, per_s in state.items()
            ]
        }

    def decode(self, value: Mapping[str, Any]) -> Rates:
        """Read the stored form; raise KeyError, TypeError or ValueError."""
        rates = {}
        for row in value['servers']:
            per_s = parse_rate(str(row['per_s']))
            if per_s is not None:
                server_instance = ServerInstance(
                    str(row['server']), int(row['started_ms'])
                )
                rates[server_instance] = per_s
        return rates

    def empty(self) -> Rates:
        """Return no rates."""
        return {}
