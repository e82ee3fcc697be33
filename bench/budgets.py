"""Compare budget policies in simulated time with fixed seeds."""

from dataclasses import replace

from bench.budgetpolicies import Grants, StaticSplit, UpdatePerRequest
from bench.budgetworkload import DAEMONS, Simulation, Tally, Workload
from bench.figure import Figure

SEEDS = (20, 21)
SHORTENING_FACTOR = 5
REQUESTS = 10_000
RATE = 100.0
MEAN_SPENT = 585
"""Mean tokens that a request spends: 900 reserved, 65% used."""

DEMAND = REQUESTS * MEAN_SPENT
BUSY_SHARE = 0.75
BUSY_S = 20.0


def uneven(now: float) -> list[float]:
    """Return weights that favor one daemon and change it every 20 s."""
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
    Workload('dead_daemon', int(DEMAND * 0.95), REQUESTS, RATE, crash_at_s=30),
)

STEADY = Workload('steady', DEMAND, 24_000, 300.0, budgets=10)
STEADY_SHORT = replace(STEADY, requests=1_500)
WARM_UP_S = 30.0
"""Time after a cold start until grants have grown to their usual size."""


def run() -> list[Figure]:
    """Return overspend, false refusals and store calls."""
    figures = []
    overspend = 0
    for workload in WORKLOADS:
        ours = [measure(workload, Grants(), seed) for seed in SEEDS]
        split = [measure(workload, StaticSplit(), seed) for seed in SEEDS]
        overspend += sum(tally.overspend for tally in ours)
        figures.append(_false_refusals(workload.name, ours, split))
    for workload in map(_shortened, WORKLOADS):
        ours = [measure(workload, Grants(), SEEDS[0])]
        updates = [measure(workload, UpdatePerRequest(), SEEDS[0])]
        overspend += ours[0].overspend
        figures.append(_false_refusals(workload.name, ours, updates))
    figures.append(Figure('overspend_tokens', overspend, 0, 'tokens'))
    figures.append(
        Figure(
            'store_calls_per_1k_requests',
            store_calls(STEADY, Grants()),
            store_calls(STEADY_SHORT, UpdatePerRequest()),
            'calls',
        )
    )
    return figures


def measure(workload: Workload, policy, seed: int) -> Tally:
    """Run a workload with a policy."""
    return Simulation(workload, seed).run(policy)


def store_calls(workload: Workload, policy) -> float:
    """Return the store calls per 1,000 requests after the warm-up."""
    simulation = Simulation(workload, SEEDS[0])
    warm = [0, 0]

    def record_warm_up() -> None:
        warm[:] = policy.store_calls, simulation.tally.requests

    simulation.loop.call_later(WARM_UP_S, record_warm_up)
    tally = simulation.run(policy)
    calls, requests = warm
    if requests == tally.requests:
        return 1e3 * policy.store_calls / tally.requests
    return 1e3 * (policy.store_calls - calls) / (tally.requests - requests)


def _false_refusals(
    name: str, ours: list[Tally], others: list[Tally]
) -> Figure:
    return Figure(
        f'false_refusals_per_10k.{name}',
        sum(tally.false_refusals_per_10k for tally in ours) / len(ours),
        sum(tally.false_refusals_per_10k for tally in others) / len(others),
        'refusals',
    )


def _shortened(workload: Workload) -> Workload:
    """Return a fifth of the workload, as `UpdatePerRequest` runs slowly."""
    return replace(
        workload,
        name=f'{workload.name}.update_per_request',
        prepaid=workload.prepaid // SHORTENING_FACTOR,
        requests=workload.requests // SHORTENING_FACTOR,
        outage=tuple(time / SHORTENING_FACTOR for time in workload.outage),
        crash_at_s=workload.crash_at_s / SHORTENING_FACTOR,
    )


if __name__ == '__main__':
    for figure in run():
        print(figure.line())
