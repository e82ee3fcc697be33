"""Give requests slots on backend servers."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from oriolegauge.backends import BackendServer
from oriolegauge.config import ConfigTree
from oriolegauge.core.errors import NoServerError, ServerFailedError
from oriolegauge.core.priority import Priority

RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """Describe the work that needs a slot; tokens and loop time."""

    request_id: str
    team: str
    priority: Priority
    model: str
    max_tokens: int
    deadline: float
    allowed: tuple[str, ...]
    prefix_key: str
    fingerprint: str


@dataclass(slots=True)
class Slot:
    """Hold a place on one backend server."""

    server: BackendServer
    cancelled: set[str] = field(default_factory=set)
    tokens: int = 0
    ok: bool = False

    def progress(self, tokens: int) -> None:
        """Note that `tokens` were generated so far."""
        self.tokens = tokens

    def succeed(self, tokens: int) -> None:
        """Note a whole answer of `tokens`."""
        self.tokens = tokens
        self.ok = True


class Dispatcher:
    """Choose servers by own in-flight requests."""

    def __init__(self, *, tree: ConfigTree) -> None:
        """Read servers from the configuration."""
        self._tree = tree
        self._in_flight: dict[str, int] = {}

    def check(self, fingerprint: str) -> None:
        """Refuse quarantined work."""

    def learn(self, request: SlotRequest, output_tokens: int) -> None:
        """Note the output length of a finished request."""

    @asynccontextmanager
    async def slot(
        self, request: SlotRequest, *, exclude: frozenset[str]
    ) -> AsyncIterator[Slot]:
        """Hold a slot on a server outside `exclude` if there is one."""
        server = self._choose(request, exclude)
        self._in_flight[server.name] = self._in_flight.get(server.name, 0) + 1
        try:
            yield Slot(server)
        finally:
            self._in_flight[server.name] -= 1

    def can_resume(self, request: SlotRequest, tried: set[str]) -> bool:
        """Tell whether another server can go on with a cut stream."""
        return any(
            server.can_resume and server.name not in tried
            for server in self._candidates(request)
        )

    async def before_retry(self, failure: ServerFailedError) -> None:
        """Wait before another attempt."""
        await asyncio.sleep(RETRY_DELAY_S)

    def service_server(
        self, service: str, urls: Mapping[str, str]
    ) -> BackendServer:
        """Return a server of a plain service."""
        if not urls:
            raise NoServerError(f'service {service} has no server')
        name, url = min(
            urls.items(), key=lambda row: self._in_flight.get(row[0], 0)
        )
        return BackendServer(name=name, url=url, zone='')

    def service_failed(self, server: str) -> None:
        """Note a failed service call."""

    def service_succeeded(self, server: str) -> None:
        """Note an answered service call."""

    def _choose(
        self, request: SlotRequest, exclude: frozenset[str]
    ) -> BackendServer:
        servers = self._candidates(request)
        if not servers:
            raise NoServerError(
                f'no server offers {request.model}', retry_after_s=1
            )
        fresh = [one for one in servers if one.name not in exclude]
        return min(
            fresh or servers, key=lambda one: self._in_flight.get(one.name, 0)
        )

    def _candidates(self, request: SlotRequest) -> list[BackendServer]:
        return [
            BackendServer(
                name=name,
                url=entry.url,
                zone=entry.zone,
                models=frozenset(entry.models),
                can_resume=entry.can_resume,
            )
            for name, entry in self._tree.servers.engines.items()
            if request.model in entry.models
            and not entry.leaving
            and ('*' in request.allowed or name in request.allowed)
        ]
