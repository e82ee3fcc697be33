"""Write `docs/CAPACITY.md` from the recorded slopes alone."""

from collections.abc import Mapping
from pathlib import Path

from bench import capacitytext as text
from bench import slopes as recorded
from bench.capacitymodel import TODAY, TWO_YEARS, Model, Sizes
from bench.capacityrow import Row
from bench.capacityrows import ROLES
from bench.capacitytext import number
from bench.slope import Slope

OUTPUT = Path('docs/CAPACITY.md')


def render(slopes: Mapping[str, Slope]) -> str:
    """Return the page."""
    today, later = Model(TODAY, slopes), Model(TWO_YEARS, slopes)
    parts = [
        text.HEAD,
        _sizes(),
        *(_role(role, rows, today, later) for role, rows in ROLES.items()),
        text.not_carried(later),
        text.todays_sizes(today),
        _slopes(slopes),
    ]
    return '\n\n'.join(parts) + '\n'


def _sizes() -> str:
    rows = [
        '## Sizes',
        text.SIZES,
        '| size | today | two years |\n|---|---|---|',
    ]
    table = '\n'.join(
        f'| {name} | {getattr(TODAY, name):,} | {getattr(TWO_YEARS, name):,} |'
        for name in Sizes.__slots__
    )
    return '\n\n'.join(rows) + '\n' + table


def _role(role: str, rows: tuple[Row, ...], today: Model, later: Model) -> str:
    lines = [
        f'## {role}',
        '',
        '| cost | carried by | slopes | today | two years | allowed '
        '| breaks first |',
        '|---|---|---|---|---|---|---|',
    ]
    lines += [
        f'| {row.cost} | {row.mechanism} | {_names(row)} '
        f'| {number(row.value(today))} | {number(row.value(later))} '
        f'| {row.allowed} | {row.first_limit} |'
        for row in rows
    ]
    return '\n'.join(lines)


def _names(row: Row) -> str:
    return ', '.join(f'`{name}`' for name in row.slopes) or 'counted'


def _slopes(slopes: Mapping[str, Slope]) -> str:
    lines = [
        '## Measured slopes',
        '',
        text.SLOPES,
        '',
        '| slope | per item | error | unit | item | range | points '
        '| residual | how |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    lines += [
        f'| `{one.name}` | {one.slope:.4g} | {one.error:.2g} | {one.unit} '
        f'| {one.item} | {one.low} to {one.high} | {one.points} '
        f'| {100 * one.worst_residual:.1f}% | {one.how} |'
        for one in slopes.values()
    ]
    return '\n'.join(lines)


def main() -> None:
    """Write the page."""
    OUTPUT.write_text(render(recorded.load()))


if __name__ == '__main__':
    main()
