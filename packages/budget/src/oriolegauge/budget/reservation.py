"""Tokens reserved for one request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """Upper bound on the bill of one request, in tokens.

    `peer` is the daemon whose grant pays, or empty for the local grant.
    `reservation_id` identifies the reservation at that daemon.
    """

    budget: str
    request_id: str
    tokens: int
    holder: str
    peer: str = ''
    reservation_id: str = ''


@dataclass(frozen=True, slots=True)
class Settled:
    """Billed tokens, and those left as of the last read of the store."""

    billed: int
    left: int
