"""Prepaid grants that stay safe when every daemon dies at once."""

from oriolegauge.grants.errors import (
    GrantUnavailableError,
    PrepaidExhaustedError,
)
from oriolegauge.grants.grantkeeper import (
    Draw,
    Given,
    GrantKeeper,
    GrantPeers,
    HostClocks,
    Reservation,
)
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.ledgerbook import Renewal, ReservePart
from oriolegauge.grants.treasury import Renewed

__all__ = (
    'Draw',
    'Given',
    'GrantKeeper',
    'GrantPeers',
    'GrantUnavailableError',
    'HostClocks',
    'HostTimes',
    'PrepaidExhaustedError',
    'Renewal',
    'Renewed',
    'Reservation',
    'ReservePart',
)
