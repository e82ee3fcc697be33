"""Print results as a table or as JSON."""

import json
import os
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from tabulate import tabulate

FORMAT_VARIABLE = 'ORIOLEGAUGE_OUTPUT'


def show(result: Mapping[str, Any] | Sequence[Mapping[str, Any]]) -> None:
    """Print rows or one record."""
    if os.environ.get(FORMAT_VARIABLE) == 'json':
        sys.stdout.write(f'{json.dumps(result)}\n')
        return
    rows = [result] if isinstance(result, Mapping) else result
    sys.stdout.write(f'{tabulate(rows, headers="keys")}\n')
