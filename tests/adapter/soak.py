"""Injects random faults into daemons and compares callers with servers.

The checks: no request runs twice that must run once, no rejected request runs,
no team spends more than its prepaid tokens, and the fleet recovers.

Run more seeds by hand: `make soak SEED=7 SECONDS=30`.
"""

import asyncio
import random
import secrets
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from tests.ports import HOST

from .soakfleet import (
    EVENTS,
    KEY,
    PROMPT_TOKENS,
    TOKENS_PER_EVENT,
    SoakFleet,
)

CALL_TIMEOUT_S = 6.0
REJECTED_STATUSES = (429, 503, 408, 421)
FAULT_NAMES = (
    *('kill', 'pause', 'term', 'all', 'hup', 'config'),
    *('store', 'lose', 'forget', 'link', 'link', 'link'),
)
KINDS = ('once', 'safe', 'stream')


@dataclass
class Observed:
    """Collect the outcomes of all calls, as callers see them."""

    statuses: Counter[int] = field(default_factory=Counter)
    refused: list[str] = field(default_factory=list)
    once_attempts: list[str] = field(default_factory=list)
    mixed_up_answers: list[str] = field(default_factory=list)
    delivered_tokens: int = 0


async def call(fleet, rng, seen, kind):
    """Send one request on a new connection and record its outcome."""
    attempt = secrets.token_hex(8)
    front = fleet.ports[rng.randrange(fleet.size)][0]
    lines = [
        f'POST /{kind}/x HTTP/1.1',
        'Host: h.example',
        f'X-Oriolegauge-Attempt-Id: {attempt}',
        'X-Oriolegauge-Deadline-Ms: 3000',
        f'X-Api-Key: {KEY}',
        'Content-Length: 2',
    ]
    if kind == 'stream':
        most = EVENTS * TOKENS_PER_EVENT
        lines.append(f'X-Oriolegauge-Token-Usage: {PROMPT_TOKENS},{most}')
        lines.append('X-Oriolegauge-Prompt-Prefix: a:60,b:40')
    if kind == 'once':
        seen.once_attempts.append(attempt)
    status = 0
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, front)
            writer.write('\r\n'.join([*lines, '', 'ok']).encode())
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split()[1])
            raw = await _body(reader, head, seen)
            if status == 200 and attempt.encode() not in raw:
                seen.mixed_up_answers.append(attempt)
            writer.close()
    except (OSError, EOFError, TimeoutError, ValueError):
        """A cut answer states no outcome; received parts are counted."""
    if status in REJECTED_STATUSES:
        seen.refused.append(attempt)
    seen.statuses[status] += 1
    return status


async def _body(reader, head, seen):
    if b'chunked' not in head:
        length = int(head.lower().split(b'content-length:')[1].split()[0])
        return await reader.readexactly(length)
    raw = b''
    seen.delivered_tokens += PROMPT_TOKENS
    while size := int(await reader.readline(), 16):
        part = await reader.readexactly(size + 2)
        raw += part
        seen.delivered_tokens += part.count(b'data:') * TOKENS_PER_EVENT
    return raw


async def disturb(fleet, rng, until):
    """Inject faults, some of them overlapping, until the loop time."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        await asyncio.sleep(rng.uniform(0.1, 0.6))
        number = rng.randrange(fleet.size)
        match rng.choice(FAULT_NAMES):
            case 'link':
                await fleet.inject_link_fault(rng)
            case 'forget':
                fleet.store.forget_history()
            case 'kill':
                await fleet.kill(number)
                await fleet.start(number)
            case 'all':
                await asyncio.gather(*map(fleet.kill, range(fleet.size)))
                await asyncio.gather(*map(fleet.start, range(fleet.size)))
                await asyncio.sleep(1.5)
            case 'term':
                await fleet.term(number)
                await fleet.start(number)
            case 'pause':
                fleet.signal(number, signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(0.2, 2))
                fleet.signal(number, signal.SIGCONT)
            case 'hup':
                fleet.signal(number, signal.SIGHUP)
            case 'store':
                fleet.store.status = rng.choice([503, 429])
                await asyncio.sleep(rng.uniform(0.2, 2))
                fleet.store.status = 200
            case 'lose':
                fleet.store.lose_writes = True
                await asyncio.sleep(rng.uniform(0.2, 1.5))
                fleet.store.lose_writes = False
            case 'config':
                await fleet.write_config()


async def restore_store(fleet, rng, until):
    """Let the store come back from older copies until the loop time."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        kept = fleet.store.copy()
        await asyncio.sleep(rng.uniform(0.5, 4))
        fleet.store.status = 503
        await asyncio.sleep(rng.uniform(0.1, 0.6))
        await fleet.store.restore(kept)
        fleet.store.status = 200
        # The operator writes again what was lost.
        await fleet.write_config()


async def soak(
    seed: int,
    seconds: float,
    *,
    prepaid: int = 12_000,
    is_store_restored: bool = False,
) -> Observed:
    """Run one seed; raise AssertionError if a check fails."""
    rng = random.Random(seed)
    seen = Observed()
    with tempfile.TemporaryDirectory() as folder:
        async with SoakFleet(Path(folder), size=3, prepaid=prepaid) as fleet:
            for number in range(fleet.size):
                await fleet.wait_ready(number)
            loop = asyncio.get_running_loop()
            until = loop.time() + seconds
            faults = [asyncio.create_task(disturb(fleet, rng, until))]
            if is_store_restored:
                restores = restore_store(fleet, random.Random(seed), until)
                faults.append(asyncio.create_task(restores))
            calls = []
            while loop.time() < until:
                kind = rng.choice(KINDS)
                calls.append(asyncio.create_task(call(fleet, rng, seen, kind)))
                await asyncio.sleep(rng.expovariate(40))
            await asyncio.gather(*faults)
            await asyncio.gather(*calls)
            for number in range(fleet.size):
                await fleet.wait_ready(number)
            after = [await call(fleet, rng, seen, 'safe') for _ in range(9)]
            check(fleet, seen, after)
    return seen


def check(fleet, seen, after):
    """Compare what callers received with what the servers ran."""
    assert not seen.mixed_up_answers, (
        f'answers of other requests: {seen.mixed_up_answers}'
    )
    twice = [name for name in seen.once_attempts if fleet.run_counts[name] > 1]
    assert not twice, f'ran twice: {twice}'
    ran = [name for name in seen.refused if fleet.run_counts[name]]
    assert not ran, f'rejected, but ran: {ran}'
    assert seen.delivered_tokens <= fleet.prepaid, seen.delivered_tokens
    assert after.count(200) >= len(after) - 1, after


def main(
    *,
    seed: int = 1,
    seconds: float = 20,
    count: int = 1,
    prepaid: int = 12_000,
    restore: bool = False,
) -> None:
    """Run one or more seeds.

    :param seed: first seed
    :param seconds: how long faults are injected for each seed
    :param count: number of seeds to run, one after the other
    :param prepaid: tokens of the team
    :param restore: let the store come back from older copies too
    """
    for number in range(seed, seed + count):
        seen = asyncio.run(
            soak(number, seconds, prepaid=prepaid, is_store_restored=restore)
        )
        sys.stdout.write(
            f'seed {number}: {dict(seen.statuses)}, '
            f'{seen.delivered_tokens} tokens\n'
        )


if __name__ == '__main__':
    defopt.run(main)
