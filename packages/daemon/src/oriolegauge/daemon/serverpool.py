"""Combine what is known of the backend servers.

The configuration, signals that servers leave and load reports together decide
which servers may get new requests.
"""

from collections.abc import Callable, Iterable

from oriolegauge.backends import BackendServer
from oriolegauge.config import ConfigTree
from oriolegauge.routing import ServerView

WILDCARD = '*'


class ServerPool:
    """Combine configuration, leaving servers and load reports."""

    def __init__(
        self, *, tree: ConfigTree, is_leaving: Callable[[str], bool]
    ) -> None:
        """Send no new requests to servers for which `is_leaving` is true."""
        self._tree = tree
        self._is_leaving = is_leaving
        self._reports: dict[str, tuple[float, float]] = {}
        self._loaded: dict[str, frozenset[str]] = {}

    def engines(self) -> list[BackendServer]:
        """Return all configured engines."""
        return [
            BackendServer(
                name=name,
                url=entry.url,
                zone=entry.zone,
                models=self._loaded.get(name, frozenset(entry.models)),
                leaving=entry.leaving or self._is_leaving(name),
                obeys_fencing=entry.obeys_fencing,
                can_resume=entry.can_resume,
            )
            for name, entry in self._tree.servers.engines.items()
        ]

    def usable(
        self, model: str, allowed: Iterable[str]
    ) -> dict[str, BackendServer]:
        """Return the engines that may run the model for a team.

        `allowed` holds the server names of the team, or a wildcard.
        """
        names = frozenset(allowed)
        return {
            server.name: server
            for server in self.engines()
            if model in server.models
            and not server.leaving
            and (WILDCARD in names or server.name in names)
        }

    def record_load_report(
        self,
        name: str,
        load_tokens: float,
        now: float,
        *,
        models: frozenset[str] | None = None,
    ) -> None:
        """Record the load of an engine and its loaded models, if reported."""
        self._reports[name] = (load_tokens, now)
        if models is not None:
            self._loaded[name] = models

    def view(self, server: BackendServer) -> ServerView:
        """Return what the router needs to know of a server."""
        load, reported_at = self._reports.get(server.name, (0, None))
        return ServerView(
            name=server.name,
            zone=server.zone,
            models=server.models,
            leaving=server.leaving,
            can_resume=server.can_resume,
            reported_load=load,
            reported_at=reported_at,
        )
