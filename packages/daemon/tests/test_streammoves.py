import asyncio

from .engines import OUTPUT_TOKENS, Engine, Fleet, Sink, running_fleet

TOKENS = [f't{number}' for number in range(OUTPUT_TOKENS)]
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
