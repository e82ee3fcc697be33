"""Backend servers that may take new work, from all sources."""

from collections.abc import Callable, Iterable

from oriolegauge.backends import BackendServer
from oriolegauge.config import ConfigTree
from oriolegauge.routing import ServerView

WILDCARD = '*'


class ServerPool:
    """Combine configuration, signs of leaving and load reports."""

    def __init__(
        self, *, tree: ConfigTree, is_leaving: Callable[[str], bool]
    ) -> None:
        """Ask `is_leaving` for servers that must get no new work."""
        self._tree = tree
        self._is_leaving = is_leaving
        self._reports: dict[str, tuple[float, float]] = {}

    def engines(self) -> list[BackendServer]:
        """Return all configured engines."""
        return [
            BackendServer(
                name=name,
                url=entry.url,
                zone=entry.zone,
                models=frozenset(entry.models),
                leaving=entry.leaving or self._is_leaving(name),
                obeys_fencing=entry.obeys_fencing,
                can_resume=entry.can_resume,
            )
            for name, entry in self._tree.servers.engines.items()
        ]

    def usable(
        self, model: str, allowed: Iterable[str]
    ) -> dict[str, BackendServer]:
        """Return the engines that may run the model for a team."""
        names = frozenset(allowed)
        return {
            server.name: server
            for server in self.engines()
            if model in server.models
            and not server.leaving
            and (WILDCARD in names or server.name in names)
        }

    def report(self, name: str, load_tokens: float, now: float) -> None:
        """Record a load report of an engine."""
        self._reports[name] = (load_tokens, now)

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
