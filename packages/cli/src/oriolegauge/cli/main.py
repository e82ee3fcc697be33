"""Entry point of the command-line tool."""

import sys

import defopt
from oriolegauge.cli import commands
from oriolegauge.core.errors import OriolegaugeError

VERBS = {
    'team-create': commands.team_create,
    'budget-create': commands.budget_create,
    'budget-top-up': commands.budget_top_up,
    'key-create': commands.key_create,
    'engine-add': commands.engine_add,
    'service-add': commands.service_add,
    'bill': commands.bill,
}


def run() -> None:
    """Run a verb; exit with the number of its result code."""
    try:
        defopt.run(VERBS)
    except OriolegaugeError as error:
        sys.stderr.write(f'{error.code.name.lower()}: {error.message}\n')
        sys.exit(int(error.code))


if __name__ == '__main__':
    run()
