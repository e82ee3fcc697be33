"""The configuration in force, one versioned object per subtree.

A lower version never replaces a higher one, so a late answer or a restored
backup of the store cannot revert a change.
"""

from dataclasses import replace
from typing import TypeVar

from oriolegauge.config.daemonsettings import DaemonSettings
from oriolegauge.config.parse import (
    CONFIG_PREFIX,
    LIMITS_KEY,
    OPERATORS_KEY,
    SERVERS_KEY,
    SERVICES_KEY,
    TEAM_PREFIX,
    Subtree,
    parse_subtree,
)
from oriolegauge.config.subtrees import (
    Limits,
    Operators,
    Servers,
    Services,
    Team,
)
from oriolegauge.objectstore import StoredObject

# The daemon and the command-line tool import the keys from here.
__all__ = (
    'CONFIG_PREFIX',
    'LIMITS_KEY',
    'OPERATORS_KEY',
    'SERVERS_KEY',
    'SERVICES_KEY',
    'TEAM_PREFIX',
    'ConfigTree',
    'Subtree',
    'parse_subtree',
)

_SingleSubtree = TypeVar('_SingleSubtree', Servers, Services, Limits, Operators)


class ConfigTree:
    """Store the valid subtree with the highest version under each key."""

    def __init__(self) -> None:
        """Start with an empty tree."""
        self._objects: dict[str, StoredObject] = {}
        self._parsed: dict[str, Subtree] = {}
        # The settings of a host do not change, so the version is the cache key.
        self._limits: tuple[int, Limits] | None = None

    @property
    def versions(self) -> dict[str, int]:
        """Return the version of each subtree in force."""
        return {key: found.version for key, found in self._objects.items()}

    @property
    def servers(self) -> Servers:
        """Return the model engines."""
        return self._single(SERVERS_KEY, Servers)

    @property
    def services(self) -> Services:
        """Return the plain services."""
        return self._single(SERVICES_KEY, Services)

    @property
    def limits(self) -> Limits:
        """Return the limits that all daemons share."""
        return self._single(LIMITS_KEY, Limits)

    @property
    def operators(self) -> Operators:
        """Return the operators and their rights."""
        return self._single(OPERATORS_KEY, Operators)

    @property
    def teams(self) -> dict[str, Team]:
        """Return the teams by name, without deleted ones."""
        return {
            key.removeprefix(TEAM_PREFIX): found
            for key, found in self._parsed.items()
            if isinstance(found, Team) and not found.deleted
        }

    def team(self, name: str) -> Team | None:
        """Return the team's subtree, or None if unknown or deleted."""
        found = self._parsed.get(TEAM_PREFIX + name)
        if isinstance(found, Team) and not found.deleted:
            return found
        return None

    def limits_for(self, settings: DaemonSettings) -> Limits:
        """Return the limits in force on a host with these settings."""
        version = self.version(LIMITS_KEY)
        if self._limits is None or self._limits[0] != version:
            self._limits = (version, self._lower_limits(settings))
        return self._limits[1]

    def _lower_limits(self, settings: DaemonSettings) -> Limits:
        if LIMITS_KEY not in self._parsed:
            return Limits(
                max_body_bytes=settings.max_body_bytes,
                max_request_s=settings.max_request_s,
                default_max_tokens=settings.default_max_tokens,
            )
        return replace(
            self.limits,
            max_body_bytes=min(
                self.limits.max_body_bytes, settings.max_body_bytes
            ),
            max_request_s=min(
                self.limits.max_request_s, settings.max_request_s
            ),
        )

    def stored(self, key: str) -> StoredObject | None:
        """Return the object in force under the key, to be sent to peers."""
        return self._objects.get(key)

    def version(self, key: str) -> int:
        """Return the version in force, 0 for none."""
        found = self._objects.get(key)
        return found.version if found else 0

    def apply(self, stored: StoredObject) -> bool:
        """Put a subtree in force if its version is higher; return whether.

        Raise ConfigInvalidError and keep the old one if it does not validate.
        """
        if stored.version <= self.version(stored.key):
            return False
        parsed = parse_subtree(stored.key, stored.value)
        self._parsed[stored.key] = parsed
        self._objects[stored.key] = stored
        return True

    def _single(self, key: str, kind: type[_SingleSubtree]) -> _SingleSubtree:
        found = self._parsed.get(key)
        return found if isinstance(found, kind) else kind()
