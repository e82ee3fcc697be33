"""The configuration in force, one versioned object per subtree."""

from collections.abc import Mapping
from typing import Any

from oriolegauge.config.errors import ConfigInvalidError
from oriolegauge.config.subtrees import Servers, Services, Team
from oriolegauge.platform import StoredObject
from pydantic import TypeAdapter, ValidationError

PREFIX = 'config/'
TEAM_PREFIX = 'config/teams/'
SERVERS_KEY = 'config/servers'
SERVICES_KEY = 'config/services'

Subtree = Team | Servers | Services


class ConfigTree:
    """Apply whole subtrees; never apply a lower version."""

    def __init__(self) -> None:
        """Start with an empty tree."""
        self._objects: dict[str, StoredObject] = {}
        self._parsed: dict[str, Subtree] = {}

    @property
    def versions(self) -> dict[str, int]:
        """Return the version of each subtree in force."""
        return {key: found.version for key, found in self._objects.items()}

    @property
    def servers(self) -> Servers:
        """Return the engines."""
        found = self._parsed.get(SERVERS_KEY)
        return found if isinstance(found, Servers) else Servers(engines={})

    @property
    def services(self) -> Services:
        """Return the plain services."""
        found = self._parsed.get(SERVICES_KEY)
        return found if isinstance(found, Services) else Services(services={})

    def team(self, name: str) -> Team | None:
        """Return the team's subtree, or None."""
        found = self._parsed.get(TEAM_PREFIX + name)
        return found if isinstance(found, Team) else None

    def apply(self, stored: StoredObject) -> bool:
        """Put a subtree in force if it is newer.

        Raise ConfigInvalidError and keep the old one if it does not validate.
        """
        current = self._objects.get(stored.key)
        if current is not None and stored.version <= current.version:
            return False
        self._parsed[stored.key] = parse_subtree(stored.key, stored.value)
        self._objects[stored.key] = stored
        return True


def parse_subtree(key: str, tree: Mapping[str, Any]) -> Subtree:
    """Return the typed subtree; raise ConfigInvalidError with the places."""
    try:
        return TypeAdapter(_type_of(key)).validate_python(dict(tree))
    except ValidationError as error:
        places = '; '.join(
            f'{".".join(map(str, row["loc"]))}: {row["msg"]}'
            for row in error.errors()
        )
        raise ConfigInvalidError(f'{key}: {places}') from error


def _type_of(key: str) -> type[Subtree]:
    if key.startswith(TEAM_PREFIX):
        return Team
    match key:
        case 'config/servers':
            return Servers
        case 'config/services':
            return Services
        case _:
            raise ConfigInvalidError(f'unknown subtree {key}')
