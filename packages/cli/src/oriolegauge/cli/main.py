"""Entry point of the command-line tool."""

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import defopt

from oriolegauge.cli.budgetverbs import BudgetVerbs
from oriolegauge.cli.configverbs import ConfigVerbs
from oriolegauge.cli.fleetverbs import FleetVerbs
from oriolegauge.cli.operatorverbs import OperatorVerbs
from oriolegauge.cli.options import Options, describe_options, parse_options
from oriolegauge.cli.output import print_result
from oriolegauge.cli.serververbs import ServerVerbs, ServiceVerbs
from oriolegauge.cli.session import Session
from oriolegauge.cli.teamverbs import TeamVerbs
from oriolegauge.core.errors import OriolegaugeError

# Shell convention: 128 plus the number of SIGINT.
INTERRUPTED_EXIT_CODE = 130

Verbs = Mapping[str, Callable[..., Any] | Mapping[str, Callable[..., Any]]]


def verbs(options: Options) -> Verbs:
    """Return the verbs of the tool by name."""
    session = Session(options)
    team = TeamVerbs(session)
    budget = BudgetVerbs(session)
    server = ServerVerbs(session)
    service = ServiceVerbs(session)
    operator = OperatorVerbs(session)
    config = ConfigVerbs(session)
    fleet = FleetVerbs(session)
    return {
        'team': {
            'create': team.create,
            'list': team.show_all,
            'show': team.show,
            'delete': team.delete,
            'set-priority': team.set_priority,
            'allow-server': team.allow_server,
        },
        'budget': {
            'create': budget.create,
            'list': budget.show_all,
            'show': budget.show,
        },
        'top-up': budget.top_up,
        'key': {
            'create': team.create_key,
            'list': team.show_keys,
            'revoke': team.revoke_key,
        },
        'server': {
            'add': server.add,
            'list': server.show_all,
            'remove': server.remove,
            'leave': server.leave,
        },
        'service': {
            'add': service.add,
            'list': service.show_all,
            'remove': service.remove,
        },
        'operator': {
            'create': operator.create,
            'list': operator.show_all,
            'revoke': operator.revoke,
        },
        'config': {
            'get': config.get,
            'set': config.set,
            'edit': config.edit,
            'diff': config.diff,
            'apply': config.apply,
            'republish': config.republish,
            'history': config.history,
            'watch': config.watch,
        },
        'status': fleet.status,
        'bill': budget.bill,
        'drain': fleet.drain,
        'dump': fleet.dump,
        'explain': fleet.explain,
    }


def run(argv: Sequence[str] | None = None) -> None:
    """Run a verb; on an error, exit with the number of its result code."""
    options, rest = parse_options(sys.argv[1:] if argv is None else argv)
    try:
        result = defopt.run(
            verbs(options),
            argv=rest,
            short={},
            argparse_kwargs={
                'prog': 'oriolegauge',
                'epilog': describe_options(),
            },
        )
    except OriolegaugeError as error:
        sys.stderr.write(f'{error.code.name.lower()}: {error.message}\n')
        sys.exit(int(error.code))
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
    print_result(result, options.output)


if __name__ == '__main__':
    run()
