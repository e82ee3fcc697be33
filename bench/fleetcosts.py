"""Measure idle cost and reaction times of fleets of real processes."""

import json
import os
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import psutil

from bench import slopes
from bench.figure import Figure
from bench.slope import fit
from oriolegauge.wire import Envelope, Sender, encode
from oriolegauge.wire.messages import (
    ConfigVersion,
    Heard,
    Heartbeat,
    ServerInFlight,
)
from tests.fleet import Fleet, chat, fetch
from tests.load import Load, wait_until

FLEETS = (3, 6)
LARGE_FLEET = 12
ZONES = ('a', 'b', 'c')
ENGINES = ('e1', 'e2')
PREPAID_TOKENS = 1_000_000_000
IDLE_S = 4.0
WARM_UP_S = 1.0
LOAD_S = 4.0
CHANGES = 5
FLUSH_PERIOD_S = 2
POLL_S = 0.01
HEARTBEATS_PER_S = 2
MB = 1_000_000
MS_PER_S = 1_000
REACTION_TIMEOUT_S = 20.0
# Targets of section 1.3 of the design page.
CORE_SHARE = 0.02
RSS_MB = 256
BYTES_PER_S = 15_000
CALLS_PER_1K = 10
TAKEOVER_MS = 5_000
CONFIG_MS = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class _IdleCost:
    core_share: float
    rss_mb: float
    store_calls_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _StoreCalls:
    """Hold store calls per 1,000 requests, with and without idle calls."""

    per_1k: float
    per_1k_less_idle: float
    requests_per_s: float


def run() -> list[Figure]:
    """Return the figures of each fleet; 12 daemons with BENCH_LARGE=1."""
    sizes = FLEETS
    if os.environ.get('BENCH_LARGE') == '1':
        sizes = (*FLEETS, LARGE_FLEET)
    return [figure for size in sizes for figure in _measure(size)]


def _measure(size: int) -> list[Figure]:
    with Fleet() as fleet:
        _start(fleet, size)
        idle = _idle_cost(fleet)
        heartbeat_bytes = _heartbeat_bytes_per_s(fleet)
        calls = _store_calls(fleet, idle.store_calls_per_s)
        config_ms = _config_ms(fleet)
        takeover_ms = _takeover_ms(fleet)
    rows = (
        ('control_core_share', idle.core_share, CORE_SHARE, 'core'),
        ('control_rss_mb', idle.rss_mb, RSS_MB, 'MB'),
        (
            'control_bytes_per_s',
            heartbeat_bytes,
            BYTES_PER_S,
            'bytes/s',
        ),
        ('store_calls_per_1k_requests', calls.per_1k, CALLS_PER_1K, 'calls'),
        (
            'store_calls_per_1k_requests_less_idle',
            calls.per_1k_less_idle,
            CALLS_PER_1K,
            'calls',
        ),
        ('store_calls_idle_per_s', idle.store_calls_per_s, 0, 'calls/s'),
        ('load_requests_per_s', calls.requests_per_s, 0, 'requests/s'),
        ('takeover_ms', takeover_ms, TAKEOVER_MS, 'ms'),
        ('config_in_force_ms_p99', config_ms, CONFIG_MS, 'ms'),
    )
    return [
        Figure(f'{name}_{size}_daemons', ours, target, unit)
        for name, ours, target, unit in rows
    ]


def _start(fleet: Fleet, size: int) -> None:
    fleet.start_platform()
    for name in ENGINES:
        fleet.start_engine(name)
        fleet.add_engine(name)
    fleet.plan_daemons(
        {f'd{number}': ZONES[number % 3] for number in range(1, size + 1)},
        flush_period_s=FLUSH_PERIOD_S,
    )
    with ThreadPoolExecutor(len(fleet.daemon_settings)) as pool:
        list(pool.map(fleet.start_daemon, fleet.daemon_settings))
    fleet.key = fleet.create_team('cafes', tokens=PREPAID_TOKENS)
    wait_until(
        lambda: all(
            len(fleet.state(name)['members']) == size
            for name in fleet.daemon_settings
        ),
        REACTION_TIMEOUT_S,
    )


def _idle_cost(fleet: Fleet) -> _IdleCost:
    """Return costs without requests; processor time of the worst daemon."""
    time.sleep(1)
    children = [
        psutil.Process(fleet.processes[name].child.pid)
        for name in fleet.daemon_settings
    ]
    calls = _store_call_count(fleet)
    before = [_cpu_s(child) for child in children]
    started = time.monotonic()
    time.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started
    spent = [
        _cpu_s(child) - earlier
        for child, earlier in zip(children, before, strict=True)
    ]
    return _IdleCost(
        core_share=max(spent) / elapsed_s,
        rss_mb=max(child.memory_info().rss for child in children) / MB,
        store_calls_per_s=(_store_call_count(fleet) - calls) / elapsed_s,
    )


def _heartbeat_bytes_per_s(fleet: Fleet) -> float:
    """Return the bytes of the heartbeats that one daemon sends in a second.

    The counters of the kernel are per host, and those of a process leave out
    sockets, so the heartbeat that a daemon's state describes is encoded.
    Framing, acknowledgements and TCP headers are not in it.
    """
    name = next(iter(fleet.daemon_settings))
    state = fleet.state(name)
    peers = [other for other in state['members'] if other != name]
    incarnation = state['holder'].partition('/')[2]
    heartbeat = Heartbeat(
        member=name,
        incarnation=incarnation,
        zone=state['zone'],
        state=state['lifecycle'],
        config_versions=tuple(
            ConfigVersion(key, version)
            for key, version in state['config_versions'].items()
        ),
        in_flight=tuple(ServerInFlight(one, 1, 100) for one in ENGINES),
        queue_lengths=(0, 0, 0),
        heard=tuple(Heard(peer, incarnation, 250) for peer in peers),
        store_reached_age_ms=250,
    )
    sender = Sender(name, incarnation)
    size = len(
        encode(Envelope(message_id=2**50, sender=sender, message=heartbeat))
    )
    return size * len(peers) * HEARTBEATS_PER_S


def _store_calls(fleet: Fleet, idle_per_s: float) -> _StoreCalls:
    """Count store calls under load, after daemons drew their first grants."""
    with Load(fleet, list(fleet.daemon_settings), threads=8) as load:
        time.sleep(WARM_UP_S)
        before, answered, started = (
            _store_call_count(fleet),
            load.answered,
            time.monotonic(),
        )
        time.sleep(LOAD_S)
        calls, answered = (
            _store_call_count(fleet) - before,
            load.answered - answered,
        )
        elapsed_s = time.monotonic() - started
    thousands = max(1, answered) / 1_000
    return _StoreCalls(
        per_1k=calls / thousands,
        per_1k_less_idle=(calls - idle_per_s * elapsed_s) / thousands,
        requests_per_s=answered / elapsed_s,
    )


def _store_call_count(fleet: Fleet) -> int:
    counts = json.loads(fetch(f'{fleet.store_url}/admin/counts')[2])
    return sum(counts[kind] for kind in ('reads', 'writes', 'watches'))


def _config_ms(fleet: Fleet) -> float:
    """Return the longest time until all daemons apply a change.

    With 5 changes the 99th percentile is the longest one.
    """
    return max(_one_change_ms(fleet, number) for number in range(CHANGES))


def _one_change_ms(fleet: Fleet, number: int) -> float:
    url = f'{fleet.store_url}/objects/config/teams/cafes'
    found = json.loads(fetch(url)[2])
    priority = ('urgent', 'normal')[number % 2]
    status, _, body = fetch(
        url,
        method='PUT',
        body={**found['value'], 'priority': priority},
        headers={'If-Match': str(found['version'])},
    )
    if status != 200:
        raise RuntimeError(
            f'the store rejected a configuration change: {status}'
        )
    version = json.loads(body)['version']

    def is_applied() -> bool:
        return all(
            fleet.state(name)['config_versions']['config/teams/cafes']
            >= version
            for name in fleet.daemon_settings
        )

    return MS_PER_S * wait_until(is_applied, REACTION_TIMEOUT_S, POLL_S)


def _takeover_ms(fleet: Fleet) -> float:
    """Kill the owner of a running request that also holds a grant.

    Return the time until a retry got its whole answer and the store lists no
    grant of the killed daemon.
    """
    names = list(fleet.daemon_settings)
    _draw_grants(fleet, names)
    first = threading.Thread(
        target=_send_keyed_request, args=(fleet, names[0], 200), daemon=True
    )
    first.start()
    owner = _wait_for_owner(fleet, names)
    survivors = [name for name in names if name != owner]
    if not _has_grant(fleet, owner):
        raise RuntimeError(f'{owner} holds no grant to take over')
    fleet.processes[owner].kill()
    started = time.monotonic()
    while not _send_keyed_request(fleet, survivors[0], 200):
        time.sleep(POLL_S)
    wait_until(lambda: not _has_grant(fleet, owner), REACTION_TIMEOUT_S, POLL_S)
    return MS_PER_S * (time.monotonic() - started)


def _draw_grants(fleet: Fleet, names: list[str]) -> None:
    """Send 8 requests to each daemon, so that it draws a grant."""
    for turn in range(8):
        for name in names:
            chat(
                fleet.url(name), fleet.key, f'Mug {turn} [len=8]', max_tokens=16
            )


def _send_keyed_request(fleet: Fleet, name: str, tokens: int) -> bool:
    text = f'Why does my kettle hum? [len={tokens}]'
    try:
        status, _, _ = chat(
            fleet.url(name),
            fleet.key,
            text,
            max_tokens=tokens,
            headers={'Idempotency-Key': 'kettle'},
        )
    except OSError:
        return False
    return status == 200


def _wait_for_owner(fleet: Fleet, names: list[str]) -> str:
    found: list[str] = []

    def is_running() -> bool:
        found[:] = [
            name for name in names if fleet.state(name)['running_keyed']
        ]
        return bool(found)

    wait_until(is_running, REACTION_TIMEOUT_S, POLL_S)
    return found[0]


def _has_grant(fleet: Fleet, daemon: str) -> bool:
    shard = json.loads(fetch(f'{fleet.store_url}/objects/budgets/0')[2])
    return any(
        holder.startswith(f'{daemon}/') and tokens
        for record in shard['value']['budgets'].values()
        for holder, tokens in record['grants'].items()
    )


def _cpu_s(child: psutil.Process) -> float:
    times = child.cpu_times()
    return times.user + times.system


def _record(figures: list[Figure]) -> None:
    """Record how the idle cost grows with the number of daemons."""
    slopes.record(
        [
            fit(
                name,
                (*FLEETS, LARGE_FLEET),
                [
                    scale * figure.ours
                    for figure in figures
                    if figure.measure.startswith(measure)
                ],
                unit=unit,
                item='daemon of an idle fleet',
                how='psutil, processes on loopback, costliest daemon',
            )
            for name, measure, scale, unit in (
                ('idle_core_us_per_s', 'control_core_share', 1e6, 'us/s'),
                ('idle_rss_bytes', 'control_rss_mb', MB, 'bytes'),
            )
        ]
    )


if __name__ == '__main__':
    found = run()
    for figure in found:
        print(figure.line())
    if sys.argv[1:] == ['--write'] and os.environ.get('BENCH_LARGE') == '1':
        _record(found)
