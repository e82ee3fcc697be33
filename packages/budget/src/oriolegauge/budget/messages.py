"""Messages between budget managers of different daemons."""

from dataclasses import dataclass

from oriolegauge.budget.shard import Settlement


@dataclass(frozen=True, slots=True)
class Reserve:
    """Ask a peer to set aside `tokens`, at least `minimum`, of its grant."""

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
    """Free a remote reservation, also one that arrives later."""

    reservation_id: str
    asker: str


@dataclass(frozen=True, slots=True)
class Recall:
    """Ask a peer to return free tokens; the asker lacks `tokens`."""

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
    """Copy one log entry of a holder."""

    holder: str
    settlement: Settlement


@dataclass(frozen=True, slots=True)
class DeferredSettle:
    """Keep a settlement that `peer`, as `holder`, has not yet confirmed."""

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
    """Copy entries of `origin` to a peer and trim what the store has.

    `resolved` lists reservation ids whose deferred settlement is done;
    `closing` states that the origin stops and may be closed at once.
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
    """Confirm a message; `accepted` is False if it was not carried out."""

    accepted: bool = True
