"""A stream that crashes each replica shortly after its first events."""

import asyncio
import os
import secrets
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins2.fleet import Daemon
from review.standins2.platform import Call, Channel, route, write_config
from review.standins2.replica import Replica
from review.standins2.store import Store
from review.standins2.verdict import judge

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_S = 3.0
MOST_RETRIES = 3
POISON = b'{"prompt": "the one that crashes"}'
# Four tokens an event, 6.35 ms a token.
EVENT_S = 0.0254
EVENTS = 12
EVENTS_BEFORE_CRASH = int(os.environ.get('EVENTS_BEFORE_CRASH', '3'))
BACK_AFTER_S = 2.5
REPEAT_S = 1.0
REPEATS = 30
RESET = struct.pack('ii', 1, 0)


class Engine(Replica):
    """Stream events; crash a little after a harmful request has begun."""

    def __init__(self, store: Store, name: str) -> None:
        """Start without connections."""
        super().__init__(store, name)
        self.writers: set[asyncio.StreamWriter] = set()
        self.poisoned: list[float] = []
        self.crashes: list[float] = []
        self._tasks: set[asyncio.Task] = set()

    async def answer(self, request, attempt, writer) -> None:
        """Stream the events that the requester lacks."""
        is_poison = b''.join(request.pieces) == POISON
        if is_poison:
            self.poisoned.append(time.monotonic())
        self.writers.add(writer)
        try:
            await self._stream(request, attempt, writer, is_poison=is_poison)
        finally:
            self.writers.discard(writer)

    async def _stream(self, request, attempt, writer, *, is_poison) -> None:
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n'
            b'X-Oriolegauge-Attempt-Id: %b\r\n'
            b'X-Oriolegauge-Server-Signature: s.%b\r\n\r\n'
            % (attempt.encode(), attempt.encode())
        )
        first = int(request.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            if is_poison and number - first >= EVENTS_BEFORE_CRASH:
                self._crash()
                raise EOFError
            await asyncio.sleep(EVENT_S)
            event = b'id: %d\ndata: tokens\n\n' % number
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    def _crash(self) -> None:
        """Lose all channels and listen no more for some seconds."""
        self.crashes.append(time.monotonic())
        self.stop()
        for writer in list(self.writers):
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        task = asyncio.create_task(self._come_back())
        self._tasks.add(task)

    async def _come_back(self) -> None:
        """Begin a new boot with a new id."""
        await asyncio.sleep(BACK_AFTER_S)
        old, self.name = self.name, f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        await self.start()
        # Its last entry ends after three status reports of silence.
        await asyncio.sleep(1.1)
        self.store.delete('servers', old)


async def ask(daemons, number: int, body: bytes) -> Call:
    """Send one stream request on a new channel."""
    daemon = daemons[number % len(daemons)]
    channel = Channel(daemon.ip, daemon.front)
    call = await channel.send(
        Call('/chat/x'),
        body,
        deadline_ms=4000,
        **{
            'X-Oriolegauge-Model': 'm',
            'X-Oriolegauge-Token-Usage': '100,48',
            'X-Oriolegauge-Prompt-Prefix': 'aa:60,%x:40' % (number + 0x1000),
        },
    )
    channel.close()
    return call


async def sound_traffic(daemons, calls: list[Call]) -> None:
    """Send sound streams until cancelled."""
    number = 0
    async with asyncio.TaskGroup() as group:

        async def one(number: int) -> None:
            calls.append(await ask(daemons, number, b'{"n": %d}' % number))

        while True:
            number += 1
            group.create_task(one(number))
            await asyncio.sleep(0.1)


async def play(record) -> list[str]:
    """Send the harmful request again and again among sound ones."""
    store = Store()
    await store.start('127.0.0.1')
    engines = [Engine(store, f'i-{number}') for number in range(6)]
    for engine in engines:
        await engine.start()
    chat = route(
        'chat', 'streaming', canResume=True, sticky=True, gapGoalMs=250
    )
    write_config(store, 1, [chat])
    sound: list[Call] = []
    with tempfile.TemporaryDirectory() as folder:
        address = f'127.0.0.1:{store.port}'
        daemons = [Daemon(Path(folder), n, address) for n in range(3)]
        try:
            for daemon in daemons:
                await daemon.start()
            for daemon in daemons:
                await daemon.wait_ready()
            await asyncio.sleep(1)
            traffic = asyncio.create_task(sound_traffic(daemons, sound))
            for number in range(REPEATS):
                if HAS_TROUBLE:
                    call = await ask(daemons, number, POISON)
                    record(
                        f'harmful request {number}: {call.status} '
                        f'{call.reason} {call.body[:80]!r}'
                    )
                await asyncio.sleep(REPEAT_S)
            traffic.cancel()
            await asyncio.gather(traffic, return_exceptions=True)
        finally:
            for daemon in daemons:
                await daemon.stop()
            for engine in engines:
                engine.stop()
            store.stop()
    return verdict(engines, sound, record)


def verdict(engines, sound, record) -> list[str]:
    """Count the harmful requests that came after the third crash."""
    crashes = sorted(at for engine in engines for at in engine.crashes)
    arrivals = sorted(at for engine in engines for at in engine.poisoned)
    served = sum(call.status == 200 for call in sound)
    record(f'{len(sound)} sound streams, {served} whole')
    record(f'{len(arrivals)} harmful requests reached engines')
    record(f'{len(crashes)} crashes of engines')
    if not served:
        raise RuntimeError('no sound stream was served')
    if len(crashes) < 3:
        return []
    late = [at for at in arrivals if at > crashes[2] + CONTACT_S]
    record(f'{len(late)} of them later than contactMs after the third crash')
    if len(late) <= MOST_RETRIES:
        return []
    return [f'{len(late)} retries after the third crash']


if __name__ == '__main__':
    sys.exit(judge(FOLDER, 'BUDGET', play))
