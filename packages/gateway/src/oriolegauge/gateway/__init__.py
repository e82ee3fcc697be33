"""Daemon that forwards requests to backend servers, as one of a fleet."""

from oriolegauge.gateway.boundedlog import configure_bounded_logs
from oriolegauge.gateway.gateway import Gateway
from oriolegauge.gateway.gatewaysettings import GatewaySettings, ListenAddress
from oriolegauge.gateway.linuxclocks import LinuxClocks

__all__ = (
    'Gateway',
    'GatewaySettings',
    'LinuxClocks',
    'ListenAddress',
    'configure_bounded_logs',
)
