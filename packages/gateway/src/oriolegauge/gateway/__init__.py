"""Gateway: routed forwarding as one daemon of a fleet."""

from oriolegauge.gateway.boundedlog import configure_bounded_logs
from oriolegauge.gateway.gateway import Gateway
from oriolegauge.gateway.gatewaysettings import GatewaySettings, ListenAddress

__all__ = (
    'Gateway',
    'GatewaySettings',
    'ListenAddress',
    'configure_bounded_logs',
)
