"""Shared result codes, errors, priorities and hashing."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.priority import Priority
from oriolegauge.core.rendezvous import first, rank
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState

__all__ = (
    'OriolegaugeError',
    'Priority',
    'ResultCode',
    'RunState',
    'first',
    'rank',
)
