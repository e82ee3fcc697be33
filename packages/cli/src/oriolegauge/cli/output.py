"""Printing of results as tables or as JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from tabulate import tabulate

Rows = Sequence[Mapping[str, Any]]
Result = Mapping[str, Any] | Rows | None


def render(result: Result, output: str) -> str:
    """Return a result as text.

    Rows become a table, and a mapping of names to rows one table per name. Any
    other mapping is shown as JSON.
    """
    if output == 'json':
        return json.dumps(result)
    if isinstance(result, Mapping):
        if result and all(_is_rows(part) for part in result.values()):
            return '\n\n'.join(
                f'{name}\n{_table(rows)}' for name, rows in result.items()
            )
        return json.dumps(result, indent=2)
    return _table(result or [])


def print_result(result: Result, output: str) -> None:
    """Print a result; print nothing for None."""
    if result is not None:
        sys.stdout.write(f'{render(result, output)}\n')
        sys.stdout.flush()


def _is_rows(part: Any) -> bool:
    return isinstance(part, list) and all(
        isinstance(row, Mapping) for row in part
    )


def _table(rows: Rows) -> str:
    cells = [
        {name: _cell(value) for name, value in row.items()} for row in rows
    ]
    return tabulate(cells, headers='keys')


def _cell(value: Any) -> Any:
    if isinstance(value, (list, dict, tuple)):
        return json.dumps(value)
    return value
