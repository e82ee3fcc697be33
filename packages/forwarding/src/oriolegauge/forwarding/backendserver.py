"""Backend server as the fleet knows it."""

from dataclasses import dataclass

from oriolegauge.forwarding.leavinginstances import ServerInstance


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """Describe one life of a server process.

    `instance` names the process; a server that restarts under the same name
    has a later `started_ms` (Unix time). A leaving server takes no new work.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 1
    is_leaving: bool = False
    started_ms: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port."""
        return self.host, self.port

    @property
    def server_instance(self) -> ServerInstance:
        """Tell this start of the server from others under its name."""
        return ServerInstance(self.instance, self.started_ms)
