"""Grants of prepaid tokens; no crash of the whole fleet overspends them."""

from oriolegauge.grants.errors import (
    GrantUnavailableError,
    PrepaidExhaustedError,
)
from oriolegauge.grants.grantallocator import Renewed
from oriolegauge.grants.grantkeeper import (
    DrawRequest,
    DrawResult,
    GrantKeeper,
    GrantPeers,
    HostClocks,
    Reservation,
)
from oriolegauge.grants.grantledger import GrantLedger, Renewal, ReservePart
from oriolegauge.grants.grantprocess import GrantProcess
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.ledgerrecovery import LedgerCopy

__all__ = (
    'DrawRequest',
    'DrawResult',
    'GrantKeeper',
    'GrantLedger',
    'GrantPeers',
    'GrantProcess',
    'GrantUnavailableError',
    'HostClocks',
    'HostTimes',
    'LedgerCopy',
    'PrepaidExhaustedError',
    'Renewal',
    'Renewed',
    'Reservation',
    'ReservePart',
)
