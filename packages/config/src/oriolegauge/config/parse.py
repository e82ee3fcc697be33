"""Validation of configuration subtrees by their keys."""

from collections.abc import Mapping
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError

from oriolegauge.config.errors import ConfigInvalidError
from oriolegauge.config.subtrees import (
    Limits,
    Operators,
    Servers,
    Services,
    Team,
)

CONFIG_PREFIX = 'config/'
TEAM_PREFIX = 'config/teams/'
SERVERS_KEY = 'config/servers'
SERVICES_KEY = 'config/services'
LIMITS_KEY = 'config/limits'
OPERATORS_KEY = 'config/operators'

Subtree = Team | Servers | Services | Limits | Operators

_TEAM: TypeAdapter[Subtree] = TypeAdapter(Team)
_ADAPTERS: dict[str, TypeAdapter[Subtree]] = {
    SERVERS_KEY: TypeAdapter(Servers),
    SERVICES_KEY: TypeAdapter(Services),
    LIMITS_KEY: TypeAdapter(Limits),
    OPERATORS_KEY: TypeAdapter(Operators),
}


def parse_subtree(key: str, tree: Mapping[str, Any]) -> Subtree:
    """Return the typed subtree; raise ConfigInvalidError if invalid."""
    adapter = _adapter_of(key)
    try:
        # Strict validation of JSON text accepts lists as tuples and strings
        # as enumeration values, and converts nothing else.
        return adapter.validate_json(orjson.dumps(dict(tree)))
    except ValidationError as error:
        raise ConfigInvalidError(f'{key}: {_places(error)}') from error
    except TypeError as error:
        raise ConfigInvalidError(f'{key}: not JSON: {error}') from error


def _places(error: ValidationError) -> str:
    return '; '.join(
        f'{".".join(map(str, row["loc"])) or "object"}: {row["msg"]}'
        for row in error.errors(include_url=False, include_input=False)
    )


def _adapter_of(key: str) -> TypeAdapter[Subtree]:
    team = key.removeprefix(TEAM_PREFIX)
    if team not in {key, ''} and '/' not in team:
        return _TEAM
    try:
        return _ADAPTERS[key]
    except KeyError:
        raise ConfigInvalidError(f'{key}: unknown subtree') from None
