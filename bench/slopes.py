"""Measure how costs grow; write them for the capacity page."""

import argparse
import dataclasses
import json
import time
from pathlib import Path

from bench import slopesofcpu, slopesofstate
from bench.slope import Slope

OUTPUT = Path('docs/capacity-slopes.json')


def measure() -> list[Slope]:
    """Return all slopes, in a fixed order."""
    return [*slopesofstate.slopes(), *slopesofcpu.slopes()]


def load(path: Path = OUTPUT) -> dict[str, Slope]:
    """Return the recorded slopes by name."""
    return {row['name']: Slope(**row) for row in json.loads(path.read_text())}


def record(found: list[Slope], path: Path = OUTPUT) -> None:
    """Write the slopes; keep recorded ones that are not in the list."""
    merged = load(path) if path.exists() else {}
    merged.update({one.name: one for one in found})
    rows = [dataclasses.asdict(one) for one in merged.values()]
    path.write_text(json.dumps(rows, indent=1) + '\n')


def main() -> None:
    """Print the slopes; with `--write`, record them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    write = parser.parse_args().write
    started = time.monotonic()
    found = measure()
    for one in found:
        print(
            f'{one.name}: {one.slope:.4g} +- {one.error:.2g} {one.unit}'
            f' per {one.item}, {one.intercept:.4g} at none,'
            f' {one.low} to {one.high},'
            f' residual {100 * one.worst_residual:.1f}%'
        )
    print(f'# {time.monotonic() - started:.0f} s')
    if write:
        record(found)


if __name__ == '__main__':
    main()
