"""Wait for silent servers, without a network."""

import asyncio
import math
from types import SimpleNamespace

import pytest

from oriolegauge.core.errors import NoServerError
from oriolegauge.forwarding.attemptwatch import AttemptSender, AttemptWatch
from oriolegauge.forwarding.errors import ReplyBrokenError
from oriolegauge.forwarding.requestretries import RequestRetries
from oriolegauge.forwarding.requeststate import RequestState
from oriolegauge.forwarding.silencelimit import ASK_AGAIN_S, SilenceLimit
from oriolegauge.routing.crashquarantine import QuarantinedError

DEADLINE = 100.0
OBJECTIVE_S = 0.2


def state_of(*, deadline=DEADLINE, max_attempts=2, may_run_again=True):
    context = SimpleNamespace(
        deadline=deadline,
        service='svc',
        route=SimpleNamespace(
            max_attempts=max_attempts, objective_s=OBJECTIVE_S
        ),
    )
    return RequestState(
        context, None, None, None, may_run_again=may_run_again, sends=1
    )


class FakeCredit:
    def __init__(self, left=1):
        self.left = left

    def may_retry(self, service):
        is_left = self.left > 0
        self.left -= is_left
        return is_left

    def give_back(self, service):
        self.left += 1


def retries_of(credit, *, servers=1, now=0.0):
    return RequestRetries(
        credit=credit,
        has_server=lambda service, excluded, version: servers > len(excluded),
        clock=lambda: now,
    )


class TestRequestRetries:
    @pytest.mark.parametrize(
        ('changes', 'servers', 'now'),
        [
            ({'max_attempts': 1}, 1, 0),
            ({'may_run_again': False}, 1, 0),
            ({}, 0, 0),
            ({}, 1, DEADLINE),
        ],
    )
    def test_retry_that_can_not_be_used_is_not_taken(
        self, changes, servers, now
    ):
        """Guards against credit spent on retries that are never sent."""
        credit = FakeCredit()
        retries = retries_of(credit, servers=servers, now=now)
        assert not retries.take_to_run_again(state_of(**changes))
        assert credit.left == 1

    def test_retry_of_a_sent_attempt_is_not_taken_again(self):
        """Guards against two retries for one attempt."""
        credit = FakeCredit(2)
        state = state_of()
        retries = retries_of(credit)
        assert retries.take_to_run_again(state)
        state.next_attempt = object()
        assert retries.take_to_run_again(state)
        assert credit.left == 1

    def test_work_that_did_not_run_needs_no_repeatable_route(self):
        """Guards against refusals after a full server rejected the request."""
        retries = retries_of(FakeCredit())
        assert retries.take(state_of(may_run_again=False))


class TestSilenceLimit:
    def test_refusals_delay_the_next_question_until_progress(self):
        """Guards against a busy loop while no retry can be had."""
        limit = SilenceLimit(DEADLINE, OBJECTIVE_S)
        assert limit.ask_at(2) == 2
        limit.note_refused(2)
        assert limit.ask_at(2) == 2 + ASK_AGAIN_S
        limit.note_refused(4)
        assert limit.ask_at(2) == 4 + ASK_AGAIN_S
        assert limit.ask_at(2.5) == 2.5

    def test_deadline_bounds_every_wait(self):
        """Guards against waiting beyond the time of the request."""
        limit = SilenceLimit(DEADLINE, OBJECTIVE_S)
        assert limit.ask_at(math.inf) == DEADLINE
        limit.ask_at(2)
        limit.note_refused(DEADLINE - 0.1)
        assert limit.ask_at(2) == DEADLINE

    def test_no_retry_is_asked_for_too_late(self):
        """Guards against an answer ended for an attempt without time."""
        limit = SilenceLimit(DEADLINE, OBJECTIVE_S)
        last = DEADLINE - OBJECTIVE_S
        assert limit.ask_at(last) == last
        assert limit.ask_at(last + 0.01) == DEADLINE

    def test_only_silence_beyond_the_limit_is_a_failure(self):
        """Guards against blaming a server for a short deadline."""
        limit = SilenceLimit(DEADLINE, OBJECTIVE_S)
        limit.ask_at(DEADLINE + 1)
        assert not limit.is_failed(DEADLINE)
        limit.ask_at(DEADLINE - 1)
        assert not limit.is_failed(DEADLINE - 0.5)
        assert limit.is_failed(DEADLINE)


class Setup:
    """Watch an attempt whose reads and next send are scripted."""

    def __init__(self, send):
        self.clock = asyncio.get_running_loop().time
        self.credit = FakeCredit()
        self.parts = asyncio.Queue()
        self.attempt = SimpleNamespace(
            ok=True, server=SimpleNamespace(instance='s0')
        )
        self.state = state_of(deadline=self.clock() + 1)
        self.sends = 0
        self._send_script = send
        sender = AttemptSender(
            retries=RequestRetries(
                credit=self.credit,
                has_server=lambda service, excluded, version: True,
                clock=self.clock,
            ),
            send=self._send,
            clock=self.clock,
        )
        self.limit_at = self.clock() + 0.02
        self.watch = AttemptWatch(self.state, self.attempt, sender)

    def feed_in(self, delay_s, part):
        asyncio.get_running_loop().call_later(
            delay_s, self.parts.put_nowait, part
        )

    async def read(self):
        part = await self.parts.get()
        if isinstance(part, Exception):
            raise part
        return part

    async def wait(self):
        return await self.watch.wait(self.read, self.limit_at)

    async def _send(self, excluded):
        self.sends += 1
        return await self._send_script(excluded)


def sending(delay_s):
    async def send(excluded):
        await asyncio.sleep(delay_s)
        return 'next'

    return send


class TestAttemptWatch:
    @pytest.mark.parametrize(
        'error', [NoServerError('none'), QuarantinedError('held')]
    )
    async def test_attempt_goes_on_if_the_next_is_not_sent(self, error):
        """Guards against an answer ended for a request that is never sent."""

        async def refuse(excluded):
            excluded.add('s1')
            raise error

        setup = Setup(refuse)
        setup.feed_in(0.1, b'late')
        assert await setup.wait() == b'late'
        assert setup.sends == 1
        assert setup.credit.left == 1
        assert not setup.state.excluded
        assert setup.attempt.ok

    async def test_event_before_the_next_send_is_used(self):
        """Guards against events delayed while other servers don't respond."""
        setup = Setup(sending(10))
        setup.feed_in(0.1, b'late')
        async with asyncio.timeout(0.5):
            assert await setup.wait() == b'late'
        assert setup.credit.left == 1
        assert setup.state.next_attempt is None

    async def test_bytes_without_progress_end_one_send_only(self):
        """Guards against a trickling server that keeps its request."""
        setup = Setup(sending(0.1))
        for number in range(20):
            setup.feed_in(0.03 + 0.02 * number, b':')
        with pytest.raises(ReplyBrokenError):
            while True:
                await setup.wait()
        assert setup.sends == 2
        assert setup.credit.left == 0
        assert setup.state.next_attempt == 'next'

    async def test_event_after_the_next_send_is_not_used(self):
        """Guards against an event that reaches the caller twice."""
        setup = Setup(sending(0))
        with pytest.raises(ReplyBrokenError):
            await setup.wait()
        setup.parts.put_nowait(b'late')
        assert setup.state.take_next_attempt() == 'next'
        assert setup.parts.qsize() == 1

    async def test_end_of_the_silent_server_leaves_the_next_send(self):
        """Guards against a retry lost when the silent server fails."""
        setup = Setup(sending(0.1))
        setup.feed_in(0.05, ReplyBrokenError('closed'))
        with pytest.raises(ReplyBrokenError):
            await setup.wait()
        assert setup.state.next_attempt == 'next'
        assert setup.credit.left == 0

    async def test_caller_that_leaves_costs_no_retry(self):
        """Guards against credit lost, and a send that nobody waits for."""
        setup = Setup(sending(0.2))
        waiting = asyncio.create_task(setup.wait())
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.2)
        assert waiting.cancelled()
        assert setup.credit.left == 1
        assert setup.state.next_attempt is None
        assert setup.attempt.ok
