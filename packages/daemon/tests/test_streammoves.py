import asyncio

import pytest

from oriolegauge.core import rank
from oriolegauge.core.errors import AnswerIncompleteError

from .engines import OUTPUT_TOKENS, Engine, Fleet, Sink, running_fleet

TOKENS = [f't{number}' for number in range(OUTPUT_TOKENS)]
# The order of engines for the requests of the fleet.
PREFIX_KEY = 't|"p"'
# Long enough for the queue to look at ejected servers while a stream runs.
SILENCE_S = 0.3


async def ask_and_eject(fleet: Fleet, engines: list[Engine]) -> Sink:
    """Eject the server of a stream while it runs; return the answer."""
    asked = asyncio.create_task(fleet.ask(stream=True))
    async with asyncio.timeout(5):
        while not any(engine.silent for engine in engines):
            await asyncio.sleep(0.01)
    server = next(engine for engine in engines if engine.silent)
    fleet.eject(server.name)
    return await asked


class TestStreamsOnEjectedServers:
    async def test_stream_stays_without_another_server(self):
        """Guards against a stream that is cut and goes on at the same server.

        Each such move took a retry that other requests could have used.
        """
        engines = [Engine('e1', silences=[SILENCE_S] * 9)]
        async with running_fleet(*engines, idle_timeout_s=9) as fleet:
            sink = await ask_and_eject(fleet, engines)
            assert fleet.dispatcher._retries.retry(1) is not None
        assert sink.tokens == TOKENS
        assert engines[0].runs == 1

    async def test_stream_stays_if_the_others_are_ejected_too(self):
        """Guards against moves between servers that all fail."""
        silences = [SILENCE_S] * 9
        engines = [Engine(name, silences=silences) for name in ('e1', 'e2')]
        async with running_fleet(*engines, idle_timeout_s=9) as fleet:
            asked = asyncio.create_task(fleet.ask(stream=True))
            await asyncio.sleep(0.1)
            for engine in engines:
                fleet.eject(engine.name)
            sink = await asked
        assert sink.tokens == TOKENS
        assert sum(engine.runs for engine in engines) == 1

    async def test_stream_moves_to_a_healthy_server(self):
        """Guards against streams that stay on a slow server for no reason."""
        silences = [9.0]
        engines = [Engine(name, silences=silences) for name in ('e1', 'e2')]
        async with running_fleet(*engines, idle_timeout_s=9) as fleet:
            sink = await ask_and_eject(fleet, engines)
        assert sink.tokens == TOKENS
        assert [engine.runs for engine in engines] == [1, 1]


class TestResumingServers:
    """Engines that can't resume begin again, so the texts would be joined."""

    async def test_lost_stream_resumes_at_an_engine_that_can(self):
        """Guards against an answer joined from two beginnings."""
        first, second, third = rank(PREFIX_KEY, ('e1', 'e2', 'e3'))
        engines = [
            Engine(first, lost_at=2),
            Engine(second, can_resume=False),
            Engine(third),
        ]
        async with running_fleet(*engines, retry_share=9) as fleet:
            sink = await fleet.ask(stream=True)
        assert sink.tokens == TOKENS
        assert [engine.runs for engine in engines] == [1, 0, 1]

    async def test_moved_stream_resumes_at_an_engine_that_can(self):
        """Guards against the same when the queue moves a stream."""
        first, second, third = rank(PREFIX_KEY, ('e1', 'e2', 'e3'))
        engines = [
            Engine(first, silences=[9.0]),
            Engine(second, can_resume=False),
            Engine(third),
        ]
        async with running_fleet(*engines, idle_timeout_s=9) as fleet:
            sink = await ask_and_eject(fleet, engines)
        assert sink.tokens == TOKENS
        assert [engine.runs for engine in engines] == [1, 0, 1]

    async def test_stream_stays_if_no_other_engine_can_resume(self):
        """Guards against a move that only its own server could take back."""
        first, second = rank(PREFIX_KEY, ('e1', 'e2'))
        engines = [
            Engine(first, silences=[SILENCE_S]),
            Engine(second, can_resume=False),
        ]
        async with running_fleet(*engines, idle_timeout_s=9) as fleet:
            sink = await ask_and_eject(fleet, engines)
        assert sink.tokens == TOKENS
        assert [engine.runs for engine in engines] == [1, 0]

    async def test_resuming_engine_that_refuses_leaves_no_other(self):
        """Guards against a second choice of an engine that can't resume."""
        first, second, third = rank(PREFIX_KEY, ('e1', 'e2', 'e3'))
        engines = [
            Engine(first, lost_at=2),
            Engine(second, can_resume=False),
            Engine(third, lost_at=3),
        ]
        async with running_fleet(*engines, retry_share=9) as fleet:
            with pytest.raises(AnswerIncompleteError):
                await fleet.ask(stream=True)
        assert [engine.runs for engine in engines] == [1, 0, 1]
