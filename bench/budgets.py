"""Compare budget policies on a paused clock with fixed seeds."""

from bench.budgetpolicies import Grants, StaticSplit, UpdatePerRequest
from bench.budgetworkload import DAEMONS, Tally, Workload, World
from bench.figure import Figure

SEED = 20
REQUESTS = 10_000
RATE = 100.0
MEAN_SPENT = 585
"""Mean tokens that a request spends: 900 reserved, 65% used."""

DEMAND = REQUESTS * MEAN_SPENT
BUSY_SHARE = 0.75
BUSY_S = 20.0


def uneven(now: float) -> list[float]:
    """Send most requests to one daemon, another one every 20 s."""
    busy = int(now / BUSY_S) % len(DAEMONS)
    rest = (1 - BUSY_SHARE) / (len(DAEMONS) - 1)
    return [
        BUSY_SHARE if number == busy else rest for number in range(len(DAEMONS))
    ]


WORKLOADS = (
    Workload('uneven', int(DEMAND * 0.97), REQUESTS, RATE, weights=uneven),
    Workload('exhaustion', int(DEMAND * 0.8), REQUESTS, RATE),
    Workload(
        'outage',
        int(DEMAND * 1.1),
        REQUESTS,
        RATE,
        weights=uneven,
        outage=(30, 65),
    ),
    Workload('dead_daemon', int(DEMAND * 0.95), REQUESTS, RATE, death_s=30),
)

STEADY = Workload('steady', DEMAND, 12_000, 300.0, budgets=10)


def run() -> list[Figure]:
    """Return overspend, false refusals and store calls."""
    figures = []
    overspend = 0
    for workload in WORKLOADS:
        ours, split, updates = (
            measure(workload, policy)
            for policy in (Grants(), StaticSplit(), UpdatePerRequest())
        )
        overspend += ours.overspend
        figures += [
            Figure(
                f'false_refusals_per_10k.{workload.name}',
                ours.false_per_10k,
                split.false_per_10k,
                'refusals',
            ),
            Figure(
                f'false_refusals_per_10k.{workload.name}.update_per_request',
                ours.false_per_10k,
                updates.false_per_10k,
                'refusals',
            ),
        ]
    figures.append(Figure('overspend_tokens', overspend, 0, 'tokens'))
    figures.append(
        Figure(
            'store_calls_per_1k_requests',
            store_calls(Grants()),
            store_calls(UpdatePerRequest()),
            'calls',
        )
    )
    return figures


def measure(workload: Workload, policy) -> Tally:
    """Run a workload with a policy."""
    return World(workload, SEED).run(policy)


def store_calls(policy) -> float:
    """Return the store calls per 1,000 requests of a steady load."""
    tally = measure(STEADY, policy)
    return 1e3 * policy.store_calls / tally.requests


if __name__ == '__main__':
    for figure in run():
        print(figure.line())
