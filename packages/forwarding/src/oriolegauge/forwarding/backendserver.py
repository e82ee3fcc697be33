"""Backend server as listed in the store."""

from dataclasses import dataclass

from oriolegauge.forwarding.leavinginstances import ServerInstance


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """Describe one run of a server process.

    `instance` names the process; a server that restarts under the same name
    has a later `started_ms` (Unix time). `slots` is the number of requests that
    it runs at once. A leaving server takes no new work. `version` is that of
    its software: streams of one version can't go on at another.
    `cold_left_s` is how much longer it takes only a limited rate, by its entry.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 1
    is_leaving: bool = False
    started_ms: int = 0
    version: str = ''
    cold_left_s: float = 0

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port."""
        return self.host, self.port

    @property
    def server_instance(self) -> ServerInstance:
        """Return the identity of this run of the server."""
        return ServerInstance(self.instance, self.started_ms)
