"""Messages between budget managers of different daemons."""

from dataclasses import dataclass

from oriolegauge.budget.shard import Settlement


@dataclass(frozen=True, slots=True)
class Reserve:
    """Ask a peer to reserve `tokens`, at least `minimum`, of its grant.

    With `may_draw`, the peer acts as the hub and may draw from the store.
    """

    reservation_id: str
    asker: str
    budget: str
    request_id: str
    tokens: int
    minimum: int
    may_draw: bool = False


@dataclass(frozen=True, slots=True)
class ReserveAnswer:
    """State the reserved tokens (0 is a refusal) and the peer's holder."""

    reservation_id: str
    tokens: int
    holder: str


@dataclass(frozen=True, slots=True)
class Settle:
    """Bill a remote reservation; `request_id` is billed once per team."""

    reservation_id: str
    asker: str
    budget: str
    request_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class SettleAnswer:
    """State the billed tokens; `accepted` is False if the peer did not bill."""

    reservation_id: str
    accepted: bool
    billed: int = 0
    left: int = 0


@dataclass(frozen=True, slots=True)
class Release:
    """Free a remote reservation; it is refused if it arrives later."""

    reservation_id: str
    asker: str


@dataclass(frozen=True, slots=True)
class Recall:
    """Ask a peer to return free tokens; the asker needs `tokens`."""

    budget: str
    asker: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RecallAnswer:
    """State the tokens returned to the store and those still reserved."""

    budget: str
    returned: int
    reserved: int


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Copy of one log entry of a holder."""

    holder: str
    settlement: Settlement


@dataclass(frozen=True, slots=True)
class DeferredSettle:
    """Copy of a settlement that `peer`, as `holder`, has not confirmed."""

    settle: Settle
    peer: str
    holder: str


@dataclass(frozen=True, slots=True)
class JournalFloor:
    """State the position up to which the store has a holder's entries."""

    holder: str
    shard: str
    position: int


@dataclass(frozen=True, slots=True)
class JournalAppend:
    """Copy entries of `origin` to a peer.

    Entries up to the `floors` are in the store, so their copies are dropped.
    `resolved` lists the reservation ids of finished deferred settlements.
    `closing` states that the origin shuts down and may be closed at once.
    """

    origin: str
    entries: tuple[JournalEntry, ...] = ()
    deferred: tuple[DeferredSettle, ...] = ()
    floors: tuple[JournalFloor, ...] = ()
    resolved: tuple[str, ...] = ()
    closing: bool = False


@dataclass(frozen=True, slots=True)
class JournalQuery:
    """Ask for all copies of the entries of `origin`."""

    origin: str


@dataclass(frozen=True, slots=True)
class JournalAnswer:
    """Return the copies that a peer holds for `origin`."""

    origin: str
    entries: tuple[JournalEntry, ...] = ()
    deferred: tuple[DeferredSettle, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledge a message; `accepted` is False if it was rejected."""

    accepted: bool = True
