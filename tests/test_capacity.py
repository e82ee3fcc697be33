import dataclasses
import random

from bench import capacity, slopes
from bench.slope import fit


class TestCapacityPage:
    def test_page_is_reproducible_from_recorded_slopes(self):
        """Guards against a committed page that is older than the slopes."""
        page = capacity.render(slopes.load())
        assert page == capacity.render(slopes.load())
        assert page == capacity.OUTPUT.read_text()

    def test_each_named_slope_changes_its_row(self):
        """Guards against figures that are not computed from the slopes."""
        measured = slopes.load()
        page = capacity.render(measured)
        for row in [row for rows in capacity.ROLES.values() for row in rows]:
            later = capacity.Model(capacity.TWO_YEARS, measured)
            now = capacity.Model(capacity.TODAY, measured)
            doubled = {
                **measured,
                **{
                    name: dataclasses.replace(
                        measured[name],
                        slope=2 * measured[name].slope,
                        intercept=2 * measured[name].intercept,
                    )
                    for name in row.slopes
                },
            }
            changed = (
                row.value(capacity.Model(capacity.TWO_YEARS, doubled)),
                row.value(capacity.Model(capacity.TODAY, doubled)),
            )
            if row.slopes:
                assert changed != (row.value(later), row.value(now)), row.cost
        assert 'nan' not in page


class TestFit:
    def test_fit_finds_a_known_line_within_its_error(self):
        """Guards against slopes or errors that are off by a factor."""
        noise = random.Random(1)
        xs = range(10, 1_000, 10)
        values = [7 + 3 * x + noise.gauss(0, 5) for x in xs]
        found = fit('line', xs, values, unit='us', item='item', how='exact')
        assert abs(found.slope - 3) < 3 * found.error
        assert 0.001 < found.error < 0.01
