"""Prepaid grants that stay safe when every daemon dies at once."""

from oriolegauge.grants.errors import (
    GrantUnavailableError,
    PrepaidExhaustedError,
)
from oriolegauge.grants.grantkeeper import (
    Draw,
    GrantKeeper,
    GrantPeers,
    Reservation,
)

__all__ = (
    'Draw',
    'GrantKeeper',
    'GrantPeers',
    'GrantUnavailableError',
    'PrepaidExhaustedError',
    'Reservation',
)
