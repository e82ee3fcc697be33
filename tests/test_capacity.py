import random

from bench import capacity, slopes
from bench.slope import fit


class TestCapacityPage:
    def test_second_run_gives_no_difference(self):
        """Guards against a page that differs from the recorded slopes."""
        page = capacity.render(slopes.load())
        assert page == capacity.render(slopes.load())
        assert page == capacity.OUTPUT.read_text()


class TestFit:
    def test_fit_finds_a_known_line_within_its_error(self):
        """Guards against slopes or errors that are off by a factor."""
        noise = random.Random(1)
        xs = range(10, 1_000, 10)
        values = [7 + 3 * x + noise.gauss(0, 5) for x in xs]
        found = fit('line', xs, values, unit='us', item='item', how='exact')
        assert abs(found.slope - 3) < 3 * found.error
        assert 0.001 < found.error < 0.01
