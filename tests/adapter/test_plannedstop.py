"""Requests that come late in the grace period of a planned stop."""

import asyncio
import random
import secrets
import signal
from collections import Counter
from dataclasses import dataclass, field

import pytest

from tests.ports import HOST

from .soakfleet import (
    EVENTS,
    GRACE_S,
    KEY,
    PROMPT_TOKENS,
    TOKENS_PER_EVENT,
    SoakFleet,
)

CALLS = 240
KINDS = ('once', 'safe', 'stream')
# Connections are opened until just before the listener closes.
LAST_OPENED_S = 2.5
LONGEST_ANSWER_S = 1.5
# Of a request that is cut: sent no later, and cut no earlier than that.
ALLOWED_SENT_S = 3.0
ALLOWED_CUT_S = GRACE_S * 5 / 6
# A request that no server got may be cut within this time.
UNANSWERED_S = 0.2


@dataclass(kw_only=True)
class LateCall:
    """Hold a call and its outcome; times are seconds after SIGTERM."""

    kind: str
    opened_s: float
    sent_s: float
    answer_s: float
    pause_s: float
    deadline_ms: int
    has_slow_sender: bool
    attempt: str = field(default_factory=lambda: secrets.token_hex(8))
    began_s: float = 0
    status: int = 0
    is_complete: bool = False
    ended_s: float = 0

    def request(self):
        lines = [
            f'POST /{self.kind}/x HTTP/1.1',
            'Host: h.example',
            f'X-Oriolegauge-Attempt-Id: {self.attempt}',
            f'X-Oriolegauge-Deadline-Ms: {self.deadline_ms}',
            f'X-Api-Key: {KEY}',
            f'X-Answer-S: {self.answer_s}',
            f'X-Pause-S: {self.pause_s}',
            'Content-Length: 2',
        ]
        if self.kind == 'stream':
            most = EVENTS * TOKENS_PER_EVENT
            lines.append(f'X-Oriolegauge-Token-Usage: {PROMPT_TOKENS},{most}')
            lines.append('X-Oriolegauge-Prompt-Prefix: a:60,b:40')
        return '\r\n'.join([*lines, '', 'ok']).encode()


def late_call(rng):
    opened_s = rng.uniform(-0.5, LAST_OPENED_S)
    kind = rng.choice(KINDS)
    is_long = kind == 'stream' and rng.random() < 0.3
    return LateCall(
        kind=kind,
        opened_s=opened_s,
        sent_s=rng.uniform(max(0, opened_s), GRACE_S),
        answer_s=rng.uniform(0, LONGEST_ANSWER_S),
        pause_s=0.9 if is_long else 0.02,
        deadline_ms=rng.choice([600, 3000]),
        has_slow_sender=rng.random() < 0.3,
    )


def _call(kind, *, sent_s, answer_s):
    return LateCall(
        kind=kind,
        # Not before the daemon has closed its idle connections.
        opened_s=sent_s / 2,
        sent_s=sent_s,
        answer_s=answer_s,
        pause_s=0,
        deadline_ms=3000,
        has_slow_sender=False,
    )


class PlannedStop:
    """Send late calls to a daemon that gets SIGTERM at loop time `at`."""

    def __init__(self, fleet, at):
        self.fleet = fleet
        self.at = at

    async def run(self, one):
        try:
            await self._run(one)
        except (OSError, EOFError):
            """The connection was closed; the outcome tells how far it came."""
        one.ended_s = self._now_s()

    def _now_s(self):
        return asyncio.get_running_loop().time() - self.at

    async def _sleep_until(self, seconds):
        await asyncio.sleep(seconds - self._now_s())

    async def _run(self, one):
        await self._sleep_until(one.opened_s)
        reader, writer = await asyncio.open_connection(
            HOST, self.fleet.ports[0][0]
        )
        try:
            data = one.request()
            first = len(data) - 1 if one.has_slow_sender else 0
            if first:
                await self._sleep_until((one.opened_s + one.sent_s) / 2)
                one.began_s = self._now_s()
                writer.write(data[:first])
            await self._sleep_until(one.sent_s)
            one.sent_s = self._now_s()
            one.began_s = one.began_s or one.sent_s
            writer.write(data[first:])
            await self._read(one, reader)
        finally:
            writer.close()

    async def _read(self, one, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        one.status = int(head.split()[1])
        lower = head.lower()
        if b'chunked' in lower:
            while size := int(await reader.readuntil(b'\n'), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            length = int(lower.split(b'content-length:')[1].split()[0])
            await reader.readexactly(length)
        one.is_complete = True


def is_lost(one, runs):
    """State whether the call was cut although it had to be answered."""
    waited_s = one.ended_s - one.sent_s
    if one.is_complete or not (runs or waited_s > UNANSWERED_S):
        return False
    is_allowed = (
        one.sent_s <= ALLOWED_SENT_S and one.ended_s >= ALLOWED_CUT_S and runs
    )
    is_late = (one.ended_s - one.began_s) * 1000 >= one.deadline_ms
    return not (is_allowed or is_late)


async def stop_daemon(folder, seed):
    """Return the calls, the runs of each, and how long the stop took."""
    rng = random.Random(seed)
    calls = [late_call(rng) for _ in range(CALLS)]
    async with SoakFleet(folder, size=1, prepaid=1_000_000) as fleet:
        await fleet.wait_ready(0)
        at = asyncio.get_running_loop().time() + 1
        stop = PlannedStop(fleet, at)
        tasks = [asyncio.create_task(stop.run(one)) for one in calls]
        await asyncio.sleep(1)
        fleet.signal(0, signal.SIGTERM)
        await fleet.processes.pop(0).wait()
        took_s = asyncio.get_running_loop().time() - at
        await asyncio.gather(*tasks)
        # A server notices later than its caller that a request was cut.
        await asyncio.sleep(0.2)
        return calls, Counter(fleet.run_counts), took_s


class TestPlannedStop:
    @pytest.mark.parametrize('seed', [1])
    async def test_late_requests_are_answered_or_refused(self, tmp_path, seed):
        """Guards against requests cut with no answer at the end of the grace.

        Also against a second run of a once-only request, and a refusal "not
        run" of a request that has run.
        """
        calls, runs, took_s = await stop_daemon(tmp_path, seed)
        lost = [one for one in calls if is_lost(one, runs[one.attempt])]
        assert not lost, f'{len(lost)} lost: {lost[:5]}'
        assert took_s < GRACE_S, took_s
        for one in calls:
            assert one.kind != 'once' or runs[one.attempt] <= 1, one
            assert one.status != 503 or not runs[one.attempt], one
        complete = Counter(one.status for one in calls if one.is_complete)
        assert complete[200]
        assert complete[503]


class TestTermination:
    """Exits within the grace period, whatever happens around SIGTERM."""

    async def stop(self, fleet, *, again_after_s=None):
        """Return the seconds from SIGTERM to the exit, and the exit code."""
        process = fleet.processes.pop(0)
        began_at = asyncio.get_running_loop().time()
        process.send_signal(signal.SIGTERM)
        if again_after_s is not None:
            await asyncio.sleep(again_after_s)
            process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + 5):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            raise
        return asyncio.get_running_loop().time() - began_at, code

    async def test_second_sigterm_changes_nothing(self, tmp_path):
        """Guards against a grace period that begins anew."""
        async with SoakFleet(tmp_path, size=1, prepaid=1_000) as fleet:
            await fleet.wait_ready(0)
            took_s, code = await self.stop(fleet, again_after_s=1)
            assert took_s < 4
            assert code == 0

    async def test_store_away(self, tmp_path):
        """Guards against waiting for the store beyond the grace period."""
        async with SoakFleet(tmp_path, size=1, prepaid=100_000) as fleet:
            await fleet.wait_ready(0)
            now = asyncio.get_running_loop().time()
            await PlannedStop(fleet, now).run(
                _call('stream', sent_s=0, answer_s=0)
            )
            fleet.store.silent = True
            now = asyncio.get_running_loop().time()
            running = _call('once', sent_s=2, answer_s=10)
            task = asyncio.create_task(PlannedStop(fleet, now).run(running))
            took_s, code = await self.stop(fleet)
            await task
            assert running.status == 504
            assert took_s < GRACE_S, took_s
            assert code == 0

    async def test_sigterm_during_startup(self, tmp_path):
        """Guards against a daemon that can't be stopped while it starts."""
        async with SoakFleet(tmp_path, size=1, prepaid=1_000) as fleet:
            fleet.store.status = 503
            async with asyncio.timeout(10):
                log = tmp_path / 'daemon-0.log'
                while '"event": "start"' not in log.read_text():
                    await asyncio.sleep(0.005)
            took_s, code = await self.stop(fleet)
            assert took_s < GRACE_S, took_s
            assert code == 0

    @pytest.mark.parametrize('grace_s', [1, 2])
    async def test_short_grace(self, tmp_path, grace_s):
        """Guards against waiting for the balancer beyond the grace period."""
        fleet = SoakFleet(tmp_path, size=1, prepaid=1_000)
        fleet.grace_s = grace_s
        async with fleet:
            await fleet.wait_ready(0)
            took_s, code = await self.stop(fleet)
            assert took_s < grace_s
            assert code == 0
