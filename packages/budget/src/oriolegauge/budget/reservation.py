"""Tokens set aside for one request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """Bound what one request may be billed, in tokens.

    `peer` names the daemon that holds the tokens; it is empty when the
    reservation is in the own grant. `reservation_id` identifies it there.
    """

    budget: str
    request_id: str
    tokens: int
    holder: str
    peer: str = ''
    reservation_id: str = ''


@dataclass(frozen=True, slots=True)
class Settled:
    """State what was billed and what is known to be left, in tokens."""

    billed: int
    left: int
