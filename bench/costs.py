"""Measure what a daemon adds between callers and a simulated engine."""

import asyncio
import statistics
import time

import aiohttp
import psutil

from bench.figure import Figure
from tests.fleet import Fleet

STREAMS = 24
STREAM_TOKENS = 250
SEQUENTIAL_REQUESTS = 150
CONCURRENT_REQUESTS = 1_500
CONCURRENCY = 32
PREPAID_TOKENS = 1_000_000_000


def run() -> list[Figure]:
    """Return the added latency and the throughput per core-second."""
    with Fleet() as fleet:
        key = _start(fleet)
        return asyncio.run(_measure(fleet, key))


def _start(fleet: Fleet) -> str:
    fleet.start_platform()
    fleet.start_engine('e1')
    fleet.start_service('parts')
    fleet.add_engine('e1')
    fleet.add_service('parts')
    fleet.plan_daemons({'d1': 'a'})
    fleet.start_daemon('d1')
    return fleet.create_team('bench', tokens=PREPAID_TOKENS)


async def _measure(fleet: Fleet, key: str) -> list[Figure]:
    child = psutil.Process(fleet.processes['d1'].child.pid)
    direct_url, routed_url = fleet.url('e1'), fleet.url('d1')
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        headers={'Authorization': f'Bearer {key}'},
    ) as session:
        await _first_token_s(session, routed_url)
        direct_s, routed_s = [], []
        for _ in range(SEQUENTIAL_REQUESTS):
            direct_s.append(await _first_token_s(session, direct_url))
            routed_s.append(await _first_token_s(session, routed_url))
        token_cpu_s = await _stream_cpu_s(session, routed_url, child)
        request_cpu_s = await _request_cpu_s(session, routed_url, child)
    # The engine answers in steps of 4 ms, which dominate both times. The
    # medians differ by what the daemon adds; the 99th percentiles also differ
    # by when within a step a request arrives.
    return [
        Figure(
            'added_first_token_ms_p99',
            1e3 * (_p99(routed_s) - _p99(direct_s)),
            1e3 * _p99(direct_s),
            'ms',
        ),
        Figure(
            'added_first_token_ms_median',
            1e3 * (statistics.median(routed_s) - statistics.median(direct_s)),
            1e3 * statistics.median(direct_s),
            'ms',
        ),
        Figure('added_per_token_us', 1e6 * token_cpu_s, 60, 'us'),
        Figure(
            'stream_tokens_per_core_second',
            1 / token_cpu_s,
            50_000,
            'tokens/s',
        ),
        Figure(
            'requests_per_core_second', 1 / request_cpu_s, 2_500, 'requests/s'
        ),
    ]


async def _first_token_s(session: aiohttp.ClientSession, url: str) -> float:
    started = time.perf_counter()
    async with session.post(
        f'{url}/v1/chat/completions', json=_body(2, stream=True)
    ) as response:
        await response.content.readany()
        elapsed = time.perf_counter() - started
        await response.read()
    return elapsed


async def _stream_cpu_s(
    session: aiohttp.ClientSession, url: str, child: psutil.Process
) -> float:
    before = _cpu_s(child)
    sizes = await asyncio.gather(
        *(_read_stream(session, url) for _ in range(STREAMS))
    )
    return (_cpu_s(child) - before) / sum(sizes)


async def _read_stream(session: aiohttp.ClientSession, url: str) -> int:
    async with session.post(
        f'{url}/v1/chat/completions', json=_body(STREAM_TOKENS, stream=True)
    ) as response:
        return (await response.read()).count(b'"content"')


async def _request_cpu_s(
    session: aiohttp.ClientSession, url: str, child: psutil.Process
) -> float:
    concurrency_limit = asyncio.Semaphore(CONCURRENCY)

    async def call() -> None:
        async with (
            concurrency_limit,
            session.get(f'{url}/services/parts/stock') as response,
        ):
            await response.read()
            assert response.status == 200

    before = _cpu_s(child)
    await asyncio.gather(*(call() for _ in range(CONCURRENT_REQUESTS)))
    return (_cpu_s(child) - before) / CONCURRENT_REQUESTS


def _body(tokens: int, *, stream: bool) -> dict:
    return {
        'model': 'toaster-7b',
        'messages': [
            {'role': 'user', 'content': f'Lamp flickers [len={tokens}]'}
        ],
        'max_tokens': tokens,
        'stream': stream,
    }


def _cpu_s(child: psutil.Process) -> float:
    times = child.cpu_times()
    return times.user + times.system


def _p99(samples: list[float]) -> float:
    return statistics.quantiles(samples, n=100)[98]
