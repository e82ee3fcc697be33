"""Forward requests to backend servers by host and path prefix.

Failed attempts are retried on other servers where the route allows it.
"""

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.forwarder import Forwarder, StateVersions
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
    'CallerLimits',
    'Forwarder',
    'ForwardingConfig',
    'HeaderNames',
    'RequestKind',
    'Route',
    'RouteTable',
    'Service',
    'StateVersions',
    'WeightedService',
    'Workspace',
)
