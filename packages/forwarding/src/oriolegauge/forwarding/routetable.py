"""Lookup of routes, services and workspaces in a configuration."""

import random
from collections.abc import Collection

from oriolegauge.forwarding.forwardingconfig import (
    ForwardingConfig,
    Service,
    Workspace,
)
from oriolegauge.forwarding.route import Route


class RouteTable:
    """Find routes, services and workspaces of one configuration version."""

    def __init__(self, config: ForwardingConfig) -> None:
        """Build the indexes of the configuration."""
        self.config = config
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._services = {service.name: service for service in config.services}
        resumable = [route for route in config.routes if route.is_resumable]
        self._resumable_services = frozenset(
            entry.service for route in resumable for entry in route.services
        )
        self._longest_stream_s = max(
            (route.timeout_s for route in resumable), default=0
        )
        self._workspaces = {space.name: space for space in config.workspaces}
        self._by_key = {
            key: space
            for space in config.workspaces
            for key in space.caller_keys
        }

    @property
    def has_workspaces(self) -> bool:
        """State whether callers need a key on routes that aren't public."""
        return bool(self._workspaces)

    @property
    def resumable_services(self) -> Collection[str]:
        """Return the services whose streams may be resumed."""
        return self._resumable_services

    @property
    def longest_stream_s(self) -> float:
        """Return the longest time that a resumable stream may take."""
        return self._longest_stream_s

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        prefixes = self._by_host.get(_without_port(host).lower())
        if not prefixes:
            return None
        path = path.partition('?')[0]
        end = path.rfind('/')
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found:
                return found
            end = path.rfind('/', 0, end)
        return None

    def workspace_of(self, caller_key: str) -> Workspace | None:
        """Return the workspace that holds the key."""
        return self._by_key.get(caller_key)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace of that name."""
        return self._workspaces.get(name)

    def service(self, name: str) -> Service | None:
        """Return the service of that name."""
        return self._services.get(name)

    def pick_service(self, route: Route, rng: random.Random) -> str:
        """Choose one of the route's services by weight.

        Generators in the same state choose the same one.
        """
        if len(route.services) == 1:
            return route.services[0].service
        names = [entry.service for entry in route.services]
        weights = [entry.weight for entry in route.services]
        return rng.choices(names, weights)[0]


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host
