"""Run all benchmarks; write figures as JSON and as a plot page."""

import importlib
import json
import sys
import time
from pathlib import Path

OUTPUT = Path('build/bench')
MODULES = (
    'bench.budgets',
    'bench.policies',
    'bench.grantpolicies',
    'bench.wire',
    'bench.costs',
    'bench.sheddingcosts',
    'bench.fleetcosts',
)


def main(names: list[str]) -> int:
    """Run the named benchmark modules, or all of them."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    figures = []
    for name in names or MODULES:
        started = time.monotonic()
        for figure in importlib.import_module(name).run():
            print(figure.line(), flush=True)
            figures.append(figure)
        print(f'# {name}: {time.monotonic() - started:.0f} s', flush=True)
    rows = [
        {
            'measure': figure.measure,
            'ours': figure.ours,
            'baseline': figure.baseline,
            'unit': figure.unit,
        }
        for figure in figures
    ]
    (OUTPUT / 'figures.json').write_text(json.dumps(rows, indent=1) + '\n')
    _plot(rows)
    return 0


def _plot(rows: list[dict]) -> None:
    import matplotlib as mpl

    mpl.use('svg')
    from matplotlib import pyplot

    shown = [row for row in rows if row['baseline']]
    height = max(3, 0.3 * len(shown))
    figure, axes = pyplot.subplots(figsize=(9, height))
    axes.barh(
        [row['measure'] for row in shown],
        [row['ours'] / row['baseline'] for row in shown],
    )
    axes.axvline(1, color='black', linewidth=0.8)
    axes.set_xlabel('ours / baseline')
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(OUTPUT / 'ratios.svg')
    cells = ''.join(
        f'<tr><td>{row["measure"]}<td>{row["ours"]:.4g}'
        f'<td>{row["baseline"]:.4g}<td>{row["unit"]}'
        for row in rows
    )
    (OUTPUT / 'index.html').write_text(
        '<!doctype html><title>oriolegauge benchmarks</title>'
        '<img src="ratios.svg"><table><tr><th>measure<th>ours'
        f'<th>baseline<th>unit{cells}</table>\n'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
