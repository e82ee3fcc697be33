"""Reservation of the ports that test processes listen on."""

import asyncio
import socket

import pytest

from . import ports


class TestHoldPort:
    def test_no_port_is_returned_twice(self, monkeypatch):
        """Guards against two test processes that start servers on one port."""
        port = ports.hold_port()
        monkeypatch.setattr(ports, 'FIRST_PORT', port)
        monkeypatch.setattr(ports, 'LAST_PORT', port + 1)
        with pytest.raises(RuntimeError, match='no free port'):
            ports.hold_port()

    async def test_server_starts_again_on_its_port(self):
        """Guards against a reservation that blocks the server itself."""
        port = ports.hold_port()
        for _ in range(3):
            server = await asyncio.start_server(
                lambda _reader, writer: writer.close(), ports.HOST, port
            )
            with socket.create_connection((ports.HOST, port), timeout=5):
                pass
            server.close()
            await server.wait_closed()
