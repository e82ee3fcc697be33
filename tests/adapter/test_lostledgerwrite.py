"""The ledger of grants when the store applies a write and cuts the call."""

import pytest
from aiohttp import web
from oriolegauge_adapter.platformstore import PlatformStore

from oriolegauge.grants.grantledger import LedgerEntry, TeamRequest
from oriolegauge.grants.ledgerwriter import LedgerWriter
from oriolegauge.objectstore import StoreAnswerLostError

from .standinstore import StandInStore

PREPAID_TOKENS = 1_000


class CuttingStore(StandInStore):
    """Apply the first replacement of an object and cut its connection."""

    @web.middleware
    async def _inject_faults(self, request, handler):
        self.lose_writes = request.method == 'PUT' and not self.calls['PUT']
        return await StandInStore._inject_faults(self, request, handler)


async def no_copies():
    return ()


def entry(**fields):
    team_request = TeamRequest(prepaid=PREPAID_TOKENS, **fields)
    return lambda _, position: LedgerEntry(
        holder='d1/1', position=position, team_requests={'t': team_request}
    )


class TestLostLedgerWrite:
    async def test_returned_tokens_go_back_once(self):
        """Guards against overspend: tokens returned twice are granted twice."""
        stand_in = CuttingStore()
        await stand_in.start()
        store = PlatformStore(f'127.0.0.1:{stand_in.port}')
        writer = LedgerWriter(
            store=store,
            key='grants/ledger',
            holder='d1/1',
            on_resolved=lambda *_: None,
            is_first_start=True,
            remembered_by_peers=no_copies,
            prepaid=lambda _: PREPAID_TOKENS,
        )
        await writer.write(entry(need=400))
        with pytest.raises(StoreAnswerLostError):
            await writer.write(entry(returned=100))
        await writer.write(entry())
        assert writer.ledger.teams['t'].charged == 300
        await store.close()
        await stand_in.stop()
