"""Which daemons live, and which backend servers leave."""

from oriolegauge.membership.leavingservers import LeavingServers, LeavingSource
from oriolegauge.membership.membertable import (
    Evidence,
    HeartbeatLike,
    MemberTable,
)
from oriolegauge.membership.view import (
    AliveMember,
    HeardMember,
    MemberState,
    View,
)

__all__ = (
    'AliveMember',
    'Evidence',
    'HeardMember',
    'HeartbeatLike',
    'LeavingServers',
    'LeavingSource',
    'MemberState',
    'MemberTable',
    'View',
)
