"""Measure the size and the cost of messages between daemons."""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import aiohttp.web
import orjson

from bench.figure import Figure
from oriolegauge.wire import (
    Envelope,
    PeerLink,
    PeerServer,
    Sender,
    decode,
    encode,
)
from oriolegauge.wire.messages import (
    ConfigVersion,
    Heard,
    Heartbeat,
    Reserve,
    ReserveAnswer,
    ServerInFlight,
)

ROUNDS = 2_000
CALLS = 1_000
MEMBERS = 8
SERVERS = 9
TEAMS = 10
US_PER_S = 1_000_000
SENDER = Sender('daemon-1', '5f3a9c01')


def run() -> list[Figure]:
    small = len(encode(_envelope(_heartbeat(MEMBERS, SERVERS))))
    by_member = len(encode(_envelope(_heartbeat(MEMBERS + 100, SERVERS))))
    by_server = len(encode(_envelope(_heartbeat(MEMBERS, SERVERS + 100))))
    plain = len(_json(_heartbeat(MEMBERS, SERVERS)))
    plain_by_member = len(_json(_heartbeat(MEMBERS + 100, SERVERS)))
    plain_by_server = len(_json(_heartbeat(MEMBERS, SERVERS + 100)))
    call_us, echo_us = asyncio.run(_calls())
    return [
        *_codec_figures(),
        Figure('wire_call_loopback', call_us, echo_us, 'us'),
        Figure('wire_heartbeat_bytes', small, plain, 'bytes'),
        Figure(
            'wire_heartbeat_bytes_per_member',
            (by_member - small) / 100,
            (plain_by_member - plain) / 100,
            'bytes',
        ),
        Figure(
            'wire_heartbeat_bytes_per_server',
            (by_server - small) / 100,
            (plain_by_server - plain) / 100,
            'bytes',
        ),
    ]


def _codec_figures() -> list[Figure]:
    envelope = _envelope(_heartbeat(MEMBERS, SERVERS))
    payload, plain = encode(envelope), _json(envelope.message)
    return [
        Figure(
            'wire_heartbeat_codec',
            _time_us(lambda: decode(encode(envelope))),
            _time_us(lambda: orjson.loads(_json(envelope.message))),
            'us',
        ),
        Figure(
            'wire_heartbeat_encode',
            _time_us(lambda: encode(envelope)),
            _time_us(lambda: _json(envelope.message)),
            'us',
        ),
        Figure(
            'wire_heartbeat_decode',
            _time_us(lambda: decode(payload)),
            _time_us(lambda: orjson.loads(plain)),
            'us',
        ),
    ]


def _time_us(action: Callable[[], object]) -> float:
    action()
    began = time.perf_counter()
    for _ in range(ROUNDS):
        action()
    return (time.perf_counter() - began) / ROUNDS * US_PER_S


async def _calls() -> tuple[float, float]:
    """Time a call over a link, and a bare echo over the same library."""
    message = Reserve(
        reservation_id='5f3a9c01-1',
        asker='daemon-1',
        budget='budget',
        request_id='request-1',
        tokens=100,
        minimum=10,
    )

    async def handle(sender: Sender, request):
        return ReserveAnswer('x', request.tokens, 'd1/1')

    server = PeerServer(
        sender=lambda: Sender('daemon-2', '77b1e0aa'),
        handler=handle,
        is_member=lambda _: True,
    )
    port = await server.listen('127.0.0.1', 0)
    async with aiohttp.ClientSession() as session:
        link = PeerLink(
            peer='daemon-2',
            url=f'ws://127.0.0.1:{port}/link',
            session=session,
            sender=lambda: SENDER,
        )
        task = asyncio.create_task(link.run())
        await link.wait_connected(5)
        call_us = await _time_calls(lambda: link.call(message, 5))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await server.close()
        echo_us = await _echo(session, len(encode(_envelope(message))))
    return call_us, echo_us


async def _echo(session: aiohttp.ClientSession, size: int) -> float:
    async def handle(request: aiohttp.web.Request):
        socket = aiohttp.web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        async for frame in socket:
            await socket.send_bytes(frame.data)
        return socket

    app = aiohttp.web.Application()
    app.router.add_get('/', handle)
    runner = aiohttp.web.AppRunner(app)
    await runner.setup()
    await aiohttp.web.TCPSite(runner, '127.0.0.1', 0).start()
    port = runner.addresses[0][1]
    async with session.ws_connect(f'http://127.0.0.1:{port}/') as socket:

        async def call() -> None:
            await socket.send_bytes(b'x' * size)
            await socket.receive()

        echo_us = await _time_calls(call)
    await runner.cleanup()
    return echo_us


async def _time_calls(call: Callable) -> float:
    await call()
    began = time.perf_counter()
    for _ in range(CALLS):
        await call()
    return (time.perf_counter() - began) / CALLS * US_PER_S


def _envelope(message: Heartbeat | Reserve) -> Envelope:
    return Envelope(message_id=2**50, sender=SENDER, message=message)


def _json(message: Heartbeat) -> bytes:
    return orjson.dumps(message)


def _heartbeat(members: int, servers: int) -> Heartbeat:
    return Heartbeat(
        member=SENDER.name,
        incarnation=SENDER.incarnation,
        zone='zone-a',
        state='serving',
        config_versions=tuple(
            ConfigVersion(f'config/teams/team-{number}', 1_000 + number)
            for number in range(TEAMS)
        ),
        in_flight=tuple(
            ServerInFlight(f'engine-{number}', 8, 4_000 + number)
            for number in range(servers)
        ),
        queue_lengths=(3, 20, 100),
        heard=tuple(
            Heard(f'daemon-{number}', f'{number:08x}', 100 + number)
            for number in range(members)
        ),
        store_reached_age_ms=250,
    )


if __name__ == '__main__':
    for figure in run():
        print(figure.line())
