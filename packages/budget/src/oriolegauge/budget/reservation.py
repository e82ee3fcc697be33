"""Tokens set aside for one request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """Bound what one request may be billed, in tokens."""

    budget: str
    request_id: str
    tokens: int
    holder: str


@dataclass(frozen=True, slots=True)
class Settled:
    """State what was billed and what is known to be left, in tokens."""

    billed: int
    left: int
