"""Short soak runs with fixed seeds; `make soak` runs more."""

import pytest

from .soak import soak

# Seconds with faults; long enough for several kills of all daemons.
SECONDS = 8
SEEDS = (1, 2)
# Seeds that have failed before. 15 and 47: SIGHUP ended a daemon that was
# starting, see test_startup.
REGRESSION_SEEDS = (15, 47)


class TestSoak:
    @pytest.mark.parametrize('seed', [*SEEDS, *REGRESSION_SEEDS])
    async def test_guarantees_hold_under_faults(self, seed):
        """Guards against overspending, repeated runs and false rejections."""
        seen = await soak(seed, SECONDS)
        assert seen.statuses[200]

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_guarantees_hold_over_restores_of_the_store(self, seed):
        """Guards against overspending after the store came back older."""
        seen = await soak(seed, SECONDS, prepaid=4_000, is_store_restored=True)
        assert seen.statuses[200]
