"""Permits of requests that are not sent."""

import asyncio

from oriolegauge.forwarding.serverconnection import ServerConnection

from .world import ScriptedServer, World


class TestPermits:
    async def test_permit_is_given_back_if_the_request_ends_before_its_send(
        self, monkeypatch
    ):
        """Guards against permits lost to callers that leave early."""
        async with World(ScriptedServer()) as world:

            async def never_connect(*_):
                await asyncio.sleep(10)

            monkeypatch.setattr(ServerConnection, 'open', never_connect)
            answer = await world.call('/safe/x', X_Deadline_Ms='100')
            assert ' 504 ' in answer.first_line
            assert len(world.permits.given_back) == 1

    async def test_permit_is_given_back_if_no_time_is_left_to_send(
        self, monkeypatch
    ):
        """Guards against permits lost to requests that connect too late."""
        async with World(ScriptedServer()) as world:
            connect = ServerConnection.open

            async def connect_late(*args):
                connection = await connect(*args)
                # Blocks the loop, so that the deadline's timer is late too.
                until = world.now() + 0.2
                while world.now() < until:
                    """Wait."""
                return connection

            monkeypatch.setattr(ServerConnection, 'open', connect_late)
            await world.call('/safe/x', X_Deadline_Ms='100')
            assert len(world.permits.given_back) == 1
