"""Liveness of daemons, and backend servers that are shutting down."""

from oriolegauge.membership.leavingservers import LeavingServers, LeavingSource
from oriolegauge.membership.membertable import (
    FailureProof,
    HeartbeatLike,
    MemberTable,
)
from oriolegauge.membership.view import (
    AliveMember,
    MemberReport,
    MemberState,
    View,
)

__all__ = (
    'AliveMember',
    'FailureProof',
    'HeartbeatLike',
    'LeavingServers',
    'LeavingSource',
    'MemberReport',
    'MemberState',
    'MemberTable',
    'View',
)
