"""Compare admission and routing with baselines in simulations."""

import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from bench import queuescenarios as queue
from bench import routingscenarios as routing
from bench.baselines import first_in_first_out, strict_priority
from bench.figure import Figure

SEEDS = (1, 2, 3, 4, 5, 6)
WORKERS = 4


def run() -> list[Figure]:
    """Return all policy figures; the seeds are fixed."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return [
            *_surge(pool),
            *_waits(pool),
            *_fairness(pool),
            *_slow_servers(pool),
            *_prefixes(pool),
        ]


def _run_seeds(
    pool: ProcessPoolExecutor, measure: Callable, *options: object
) -> list:
    jobs = [pool.submit(measure, seed, *options) for seed in SEEDS]
    return [job.result() for job in jobs]


def _queue_run(kind: str) -> queue.QueueRun:
    match kind:
        case 'ours':
            return queue.ours()
        case 'no_pausing':
            return queue.ours(pauses_stragglers=False)
        case 'strict_priority':
            return queue.baseline(strict_priority)
    return queue.baseline(first_in_first_out)


def _surge_of(seed: int, kind: str) -> tuple[float, float]:
    return queue.surge(_queue_run(kind), seed)


def _surge(pool: ProcessPoolExecutor) -> list[Figure]:
    kinds = ('ours', 'first_in_first_out', 'strict_priority')
    found = {kind: _run_seeds(pool, _surge_of, kind) for kind in kinds}
    figures = []
    for index, name in enumerate(('urgent_on_time_share', 'goodput_share')):
        ours, fifo, strict = (
            statistics.mean(pair[index] for pair in found[kind])
            for kind in kinds
        )
        figures += [
            Figure(f'crest_{name}', ours, fifo, 'share'),
            Figure(f'crest_{name}_vs_strict_priority', ours, strict, 'share'),
        ]
    return figures


def _waits_of(seed: int, kind: str) -> tuple[list[float], list[float]]:
    return queue.straggler_waits(_queue_run(kind), seed)


def _waits(pool: ProcessPoolExecutor) -> list[Figure]:
    pooled = {}
    for kind in ('ours', 'no_pausing', 'first_in_first_out'):
        pairs = _run_seeds(pool, _waits_of, kind)
        pooled[kind] = [
            queue.p99([wait for pair in pairs for wait in pair[index]])
            for index in (0, 1)
        ]
    fifo = pooled['first_in_first_out']
    figures = []
    for index, name in enumerate(('short_wait_p99', 'long_wait_p99')):
        ours, unpaused = pooled['ours'][index], pooled['no_pausing'][index]
        figures += [
            Figure(name, ours, fifo[index], 's'),
            Figure(f'{name}_without_pausing', unpaused, fifo[index], 's'),
        ]
    return figures


def _spread_of(seed: int, kind: str) -> float:
    return queue.fairness_spread(lambda: _queue_run(kind), seed)


def _fairness(pool: ProcessPoolExecutor) -> list[Figure]:
    ours, fifo, strict = (
        max(_run_seeds(pool, _spread_of, kind))
        for kind in ('ours', 'first_in_first_out', 'strict_priority')
    )
    return [
        Figure('fairness_spread', ours, fifo, 'share'),
        Figure('fairness_spread_vs_strict_priority', ours, strict, 'share'),
    ]


def _latency_of(seed: int, kind: str, slow: bool) -> list[float]:
    is_ours = kind == 'ours'
    make = (
        routing.product_router
        if is_ours
        else routing.simple_router_factory(kind)
    )
    return routing.latencies(
        routing.slow_run(make, seed, ours=is_ours, slow=slow)
    )


def _slow_servers(pool: ProcessPoolExecutor) -> list[Figure]:
    def pooled(kind: str, *, slow: bool) -> float:
        lists = _run_seeds(pool, _latency_of, kind, slow)
        return queue.p99([value for values in lists for value in values])

    ours = pooled('ours', slow=True)
    name = 'slow_server_latency_p99'
    return [
        # The baseline is ours without a slow server.
        Figure(name, ours, pooled('ours', slow=False), 's'),
        *(
            Figure(f'{name}_vs_{kind}', ours, pooled(kind, slow=True), 's')
            for kind in ('round_robin', 'random', 'least_connections')
        ),
    ]


def _hits_of(seed: int, kind: str) -> tuple[float, float]:
    is_ours = kind == 'ours'
    make = (
        routing.product_router
        if is_ours
        else routing.simple_router_factory(kind)
    )
    return routing.prefix_hit_share(make, seed, ours=is_ours)


def _prefixes(pool: ProcessPoolExecutor) -> list[Figure]:
    def mean(kind: str) -> tuple[float, float]:
        pairs = _run_seeds(pool, _hits_of, kind)
        hits, best = zip(*pairs, strict=True)
        return statistics.mean(hits), statistics.mean(best)

    ours, best = mean('ours')
    return [
        # The baseline is the best possible: only first requests miss.
        Figure('prefix_hit_share', ours, best, 'share'),
        *(
            Figure(f'prefix_hit_share_vs_{kind}', ours, mean(kind)[0], 'share')
            for kind in ('round_robin', 'random', 'least_connections')
        ),
    ]
