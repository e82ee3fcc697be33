"""Routed forwarding: host and path prefix to service, with retries."""

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.forwarder import Beliefs, Forwarder
from oriolegauge.forwarding.forwardingconfig import (
    CallerLimits,
    ForwardingConfig,
    Service,
    Workspace,
)
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.route import RequestKind, Route, WeightedService
from oriolegauge.forwarding.routetable import RouteTable

__all__ = (
    'BackendServer',
    'Beliefs',
    'CallerLimits',
    'Forwarder',
    'ForwardingConfig',
    'HeaderNames',
    'RequestKind',
    'Route',
    'RouteTable',
    'Service',
    'WeightedService',
    'Workspace',
)
