import pytest

from oriolegauge.admission import DeadlineUnreachableError
from oriolegauge.core.errors import OutcomeUnknownError

from .engines import OUTPUT_TOKENS, Engine, running_fleet

# Longer than the idle timeout of the fleet, 0.2 s.
SILENCE_S = 0.7
TOKENS = [f't{number}' for number in range(OUTPUT_TOKENS)]


class TestSilentEngines:
    """Requests at engines that send nothing for longer than the timeout."""

    @pytest.mark.parametrize('stream', [False, True])
    async def test_attempt_goes_on_if_no_retry_is_left(self, stream):
        """Guards against an answer thrown away although nothing replaces it."""
        engines = engines_with([SILENCE_S, SILENCE_S])
        async with running_fleet(*engines) as fleet:
            fleet.use_up_retries()
            sink = await fleet.ask(stream=stream)
        assert sum(engine.runs for engine in engines) == 1
        if stream:
            assert sink.tokens == TOKENS

    @pytest.mark.parametrize('stream', [False, True])
    async def test_attempt_goes_on_without_another_engine(self, stream):
        """Guards against a retry at the engine that works on the request."""
        engine = Engine('e1', silences=[SILENCE_S] * 3)
        async with running_fleet(engine, retry_share=1) as fleet:
            await fleet.ask(stream=stream)
        assert engine.runs == engine.answered == 1

    @pytest.mark.parametrize('stream', [False, True])
    async def test_attempt_goes_on_if_it_may_not_be_repeated(self, stream):
        """Guards against an unknown outcome that waiting would resolve."""
        engines = engines_with([SILENCE_S])
        async with running_fleet(*engines, retry_share=1) as fleet:
            await fleet.ask(stream=stream, non_idempotent=True)
        assert sum(engine.runs for engine in engines) == 1

    async def test_stream_goes_on_if_no_engine_can_resume_it(self):
        """Guards against a cut stream whose engine was about to go on."""
        engines = engines_with([SILENCE_S], can_resume=False)
        async with running_fleet(*engines, retry_share=1) as fleet:
            sink = await fleet.ask(stream=True)
        assert sink.tokens == TOKENS
        assert sum(engine.runs for engine in engines) == 1

    async def test_the_last_attempt_is_not_ended(self):
        """Guards against a third attempt that ends without a fourth."""
        names = ('e1', 'e2', 'e3', 'e4')
        engines = engines_with([SILENCE_S] * 4, names=names)
        async with running_fleet(*engines, retry_share=9) as fleet:
            await fleet.ask()
        assert sum(engine.runs for engine in engines) == 3

    @pytest.mark.parametrize('stream', [False, True])
    async def test_attempt_ends_if_a_retry_was_taken(self, stream):
        """Guards against waiting for a dead engine while another one works.

        The retry budget holds one retry at the start, and it is taken once.
        """
        engines = engines_with([60])
        async with running_fleet(*engines) as fleet:
            sink = await fleet.ask(stream=stream)
            assert fleet.dispatcher._retries.retry(1) is None
            assert not fleet.guard.crashes
            assert fleet.dispatcher.queue.in_flight == []
        assert [engine.runs for engine in engines] == [1, 1]
        if stream:
            assert sink.tokens == TOKENS

    @pytest.mark.parametrize(
        ('non_idempotent', 'error'),
        [(False, DeadlineUnreachableError), (True, OutcomeUnknownError)],
    )
    async def test_deadline_ends_a_silent_attempt(self, non_idempotent, error):
        """Guards against a request that waits for a dead engine for ever."""
        async with running_fleet(*engines_with([60, 60])) as fleet:
            fleet.use_up_retries()
            with pytest.raises(error):
                await fleet.ask(deadline_s=0.5, non_idempotent=non_idempotent)
            assert fleet.dispatcher.queue.in_flight == []


def engines_with(
    silences: list[float],
    *,
    names: tuple[str, ...] = ('e1', 'e2'),
    can_resume: bool = True,
) -> list[Engine]:
    """Return engines that share the silences, for any order of attempts."""
    return [
        Engine(name, silences=silences, can_resume=can_resume) for name in names
    ]
