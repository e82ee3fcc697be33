"""Listening HTTP ports of a daemon."""

from aiohttp import web

from oriolegauge.config import DaemonSettings, TlsSettings
from oriolegauge.config.tlscontexts import server_context


class HttpPorts:
    """Open ports on the daemon's address and limit header sizes."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Take address and header limit from the settings."""
        self._settings = settings
        self._runners: list[web.AppRunner] = []

    async def open(
        self, app: web.Application, port: int, tls: TlsSettings | None
    ) -> None:
        """Serve the application on the port."""
        runner = web.AppRunner(
            app,
            access_log=None,
            max_line_size=self._settings.max_header_bytes,
            max_field_size=self._settings.max_header_bytes,
        )
        await runner.setup()
        site = web.TCPSite(
            runner,
            self._settings.address,
            port,
            ssl_context=server_context(tls) if tls else None,
        )
        await site.start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Close all ports."""
        for runner in self._runners:
            await runner.cleanup()
