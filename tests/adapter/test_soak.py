"""Short seeded runs of the soak; more by `make soak`."""

import pytest

from .soak import soak

# Seconds of faults; long enough for several kills of all daemons.
SECONDS = 8


class TestSoak:
    @pytest.mark.parametrize('seed', [1, 2])
    async def test_promises_hold_under_faults(self, seed):
        """Guards against overspend, second runs and untrue refusals."""
        seen = await soak(seed, SECONDS)
        assert seen.statuses[200]
