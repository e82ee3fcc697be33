"""Permits of requests that are not sent."""

import asyncio

from .world import ScriptedServer, World


class TestPermits:
    async def test_permit_is_given_back_if_the_request_ends_before_its_send(
        self,
    ):
        """Guards against permits lost to callers that leave early."""
        async with World(ScriptedServer()) as world:

            async def never_connect(server, *, max_idle_s):
                await asyncio.sleep(10)

            world.pool.take = never_connect
            answer = await world.call('/safe/x', X_Deadline_Ms='100')
            assert ' 504 ' in answer.first_line
            assert len(world.permits.given_back) == 1

    async def test_permit_is_given_back_if_no_time_is_left_to_send(self):
        """Guards against permits lost to requests that connect too late."""
        async with World(ScriptedServer()) as world:
            take = world.pool.take

            async def connect_late(server, *, max_idle_s):
                connection = await take(server, max_idle_s=max_idle_s)
                # Blocks the loop, so that the deadline's timer is late too.
                until = world.now() + 0.2
                while world.now() < until:
                    """Wait."""
                return connection

            world.pool.take = connect_late
            await world.call('/safe/x', X_Deadline_Ms='100')
            assert len(world.permits.given_back) == 1
