"""Admission limit of a small network link under a flood of long prompts.

All connections of one caller reach the same daemon, so its link fills up and
without a limit hardly any request meets its objective.
"""

import random
from dataclasses import dataclass

import pytest

from oriolegauge.admission import HostBusyError, HostLink
from oriolegauge.admission.hostlink import CONGESTION_HOLD_S

MBPS = 5.0
LINK_BYTES_PER_S = MBPS * 1_000_000 / 8
OBJECTIVE_S = 0.6
LONG_PROMPT_BYTES = 9_200
CHAT_BYTES = 830


@dataclass
class LinkTotals:
    offered: int = 0
    rejected: int = 0
    on_time: int = 0
    longest_wait_s: float = 0


def simulate(per_s, seconds, *, limited=True, seed=1):
    """Simulate a link that sends one body after the other."""
    rng = random.Random(seed)
    now = [0.0]
    link = HostLink(mbps=MBPS, clock=lambda: now[0])
    free_at = 0.0
    totals = LinkTotals()
    while now[0] < seconds:
        now[0] += rng.expovariate(per_s)
        body = LONG_PROMPT_BYTES if rng.random() < 2 / 3 else CHAT_BYTES
        totals.offered += 1
        link.received(body)
        try:
            if limited:
                link.check(body, OBJECTIVE_S)
        except HostBusyError:
            totals.rejected += 1
            continue
        link.sent(body)
        free_at = max(free_at, now[0]) + (body + 1_000) / LINK_BYTES_PER_S
        wait_s = free_at - now[0]
        totals.longest_wait_s = max(totals.longest_wait_s, wait_s)
        totals.on_time += wait_s < OBJECTIVE_S / 2
    return totals, link, now


class TestHostLink:
    @pytest.mark.parametrize('per_s', [115, 200])
    def test_flood_is_served_up_to_the_link_rate(self, per_s):
        """Guards against a link queue so long that nothing is served in time.

        Seen on kyklos-episkevi-grown quiet-1: a daemon with 5 Mbit/s got
        115 requests a second of one tenant and served 5 of them.
        """
        without, _, _ = simulate(per_s, 10, limited=False)
        with_limit, _, _ = simulate(per_s, 10)
        assert with_limit.longest_wait_s < OBJECTIVE_S / 2
        carried = (
            LINK_BYTES_PER_S
            * 10
            / (LONG_PROMPT_BYTES * 2 / 3 + CHAT_BYTES / 3 + 1_000)
        )
        assert with_limit.on_time >= 0.7 * carried
        assert with_limit.on_time > 2 * without.on_time
        served = with_limit.offered - with_limit.rejected
        assert with_limit.on_time == served

    def test_usual_load_is_not_rejected(self):
        """Guards against rejections while the link has spare capacity."""
        totals, link, _ = simulate(15, 60)
        assert not totals.rejected
        assert not link.is_congested

    def test_small_requests_pass_during_flood_of_long_ones(self):
        """Guards against small requests rejected for the bytes of others."""
        now = [0.0]
        link = HostLink(mbps=MBPS, clock=lambda: now[0])
        while True:
            try:
                link.check(LONG_PROMPT_BYTES, OBJECTIVE_S)
            except HostBusyError as error:
                assert error.retry_after_s
                break
            link.sent(LONG_PROMPT_BYTES)
        link.check(600, OBJECTIVE_S)

    def test_full_link_is_congested_for_a_limited_time(self):
        """Guards against new connections to a full link.

        The load balancer keeps a host in rotation until it is congested.
        """
        _, link, now = simulate(115, 10)
        assert link.is_congested
        now[0] += CONGESTION_HOLD_S + 0.5
        assert not link.is_congested
