"""Messages between daemons as frozen data classes."""

from dataclasses import dataclass

from oriolegauge.core.runstate import RunState

NEVER_MS = -1


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """State the version of a configuration object that a member holds."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerTokens:
    """State a member's tokens in flight on a backend server."""

    server: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ServerSuspects:
    """List the suspect fingerprints that run on a backend server."""

    server: str
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Heard:
    """State how long ago (ms) the sender heard from another member."""

    member: str
    incarnation: str
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Tell peers that a member lives, and what it holds and runs.

    `queue_lengths` is indexed by priority. `store_reached_age_ms` is the time
    since the last answer of the store, or NEVER_MS.
    """

    member: str
    incarnation: str
    zone: str
    state: str
    config_versions: tuple[ConfigVersion, ...] = ()
    in_flight: tuple[ServerTokens, ...] = ()
    queue_lengths: tuple[int, ...] = ()
    suspects: tuple[ServerSuspects, ...] = ()
    heard: tuple[Heard, ...] = ()
    store_reached_age_ms: int = NEVER_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class Reserve:
    """Ask a peer to reserve tokens of its grant for a request."""

    budget: str
    request_id: str
    tokens: int
    minimum: int
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveAnswer:
    """State the tokens granted (0 if refused) and those still free."""

    granted: int
    free: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Settle:
    """Bill the tokens of a request reserved at a peer."""

    budget: str
    request_id: str
    tokens: int
    keyed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Free the tokens of a request reserved at a peer."""

    budget: str
    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Recall:
    """Ask a holder to return free tokens of a budget to the store."""

    budget: str
    tokens: int


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Hold one numbered settlement that the store may not have yet."""

    position: int
    budget: str
    request_id: str
    tokens: int
    keyed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalShard:
    """Group the journal entries of one budget shard."""

    shard_key: str
    entries: tuple[JournalEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalAppend:
    """Copy settlements of a holder to a peer."""

    holder: str
    shard_key: str
    entries: tuple[JournalEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalQuery:
    """Ask for the copied settlements of a holder."""

    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalAnswer:
    """Return the copied settlements of a holder."""

    shards: tuple[JournalShard, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigFetch:
    """Ask a peer for configuration objects."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigObject:
    """Hold one configuration object; the value is JSON."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigObjects:
    """Return the configuration objects that a peer holds."""

    objects: tuple[ConfigObject, ...]


@dataclass(frozen=True, slots=True)
class Header:
    """Hold one HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Pass a caller's request to the peer that owns it."""

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Start a streamed answer."""

    status: int
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carry a part of the body of a streamed answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """Mark a streamed answer as complete."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tell the peer that the answer is no longer wanted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """Tell all members which requests ran on a server that crashed."""

    report_id: str
    server: str
    fingerprints: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCall:
    """Ask a peer to make a call to the object store; the value is JSON."""

    operation: str
    key: str
    value: bytes = b''
    expected_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAnswer:
    """Return the result of a store call made for a peer."""

    status: str
    version: int = 0
    value: bytes = b''


@dataclass(frozen=True, slots=True)
class Ack:
    """Confirm a message that has no other answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Report why a call failed and whether its work ran."""

    code: int
    run_state: RunState
    message: str
    retry_after_s: float | None = None


MESSAGE_TYPES: dict[str, type] = {
    'heartbeat': Heartbeat,
    'reserve': Reserve,
    'reserveAnswer': ReserveAnswer,
    'settle': Settle,
    'release': Release,
    'recall': Recall,
    'journalAppend': JournalAppend,
    'journalQuery': JournalQuery,
    'journalAnswer': JournalAnswer,
    'configFetch': ConfigFetch,
    'configObjects': ConfigObjects,
    'forward': Forward,
    'head': Head,
    'chunk': Chunk,
    'end': End,
    'cancel': Cancel,
    'crashReport': CrashReport,
    'storeCall': StoreCall,
    'storeAnswer': StoreAnswer,
    'ack': Ack,
    'failure': Failure,
}

Message = (
    Heartbeat
    | Reserve
    | ReserveAnswer
    | Settle
    | Release
    | Recall
    | JournalAppend
    | JournalQuery
    | JournalAnswer
    | ConfigFetch
    | ConfigObjects
    | Forward
    | Head
    | Chunk
    | End
    | Cancel
    | CrashReport
    | StoreCall
    | StoreAnswer
    | Ack
    | Failure
)
