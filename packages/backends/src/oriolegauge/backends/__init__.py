"""Clients of model engines and plain services."""

from oriolegauge.backends.backendserver import BackendServer
from oriolegauge.backends.engineclient import EngineClient
from oriolegauge.backends.enginerequest import EngineRequest
from oriolegauge.backends.enginestream import EngineStream, Usage
from oriolegauge.backends.errors import (
    ServerConnectError,
    ServerConnectionLostError,
    ServerRejectedError,
)
from oriolegauge.backends.ordersender import OrderSender
from oriolegauge.backends.serviceclient import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)

__all__ = (
    'BackendServer',
    'EngineClient',
    'EngineRequest',
    'EngineStream',
    'OrderSender',
    'ServerConnectError',
    'ServerConnectionLostError',
    'ServerRejectedError',
    'ServiceAnswer',
    'ServiceCall',
    'ServiceClient',
    'Usage',
)
