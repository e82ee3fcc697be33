"""Global options, from the command line or the environment."""

import argparse
import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

VARIABLE_PREFIX = 'ORIOLEGAUGE_'


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Hold the global options."""

    store: str = 'http://127.0.0.1:7000'
    output: str = 'table'
    budget_shards: int = 1
    author: str = 'unknown'
    token: str = ''
    daemons: str = ''
    admin_port: int = 7002
    ca: str = ''


HELP = {
    'store': 'URL of the object store',
    'output': 'table or json',
    'budget_shards': 'number of budget shards, as in the settings of daemons',
    'author': 'name in the history of changes; the user name by default',
    'token': 'operator token for admin ports',
    'daemons': 'admin URLs of daemons, NAME=URL or URL, separated by commas; '
    "the platform's host list by default",
    'admin_port': 'admin port of the hosts in the host list',
    'ca': 'certificates that sign the admin ports, PEM',
}


def parse_options(
    argv: Sequence[str], environment: Mapping[str, str] | None = None
) -> tuple[Options, list[str]]:
    """Return the global options and the other arguments.

    The options may stand before or after the verb. Exit with the usage code
    if one is invalid.
    """
    variables = os.environ if environment is None else environment
    parsed, rest = _parser(variables).parse_known_args(argv)
    chosen = {name: getattr(parsed, name) for name in HELP}
    return Options(**chosen), rest


def describe_options() -> str:
    """Return the help text on the global options."""
    rows = [
        f'  {_flag(name):<16} {text} [{_environment_name(name)}]'
        for name, text in HELP.items()
    ]
    return '\n'.join(('global options:', *rows))


def _parser(variables: Mapping[str, str]) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='oriolegauge', add_help=False, allow_abbrev=False
    )
    defaults = Options(author=variables.get('USER', 'unknown'))
    for name, text in HELP.items():
        default = getattr(defaults, name)
        parser.add_argument(
            _flag(name),
            help=text,
            type=_positive if isinstance(default, int) else str,
            choices=('table', 'json') if name == 'output' else None,
            default=variables.get(_environment_name(name), default),
        )
    return parser


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError('must be a positive integer')
    return number


def _flag(name: str) -> str:
    return f'--{name.replace("_", "-")}'


def _environment_name(name: str) -> str:
    return VARIABLE_PREFIX + name.upper()
