"""Messages between daemons as frozen data classes; see messages.capnp."""

from dataclasses import dataclass

from oriolegauge.budget.messages import (
    Ack,
    JournalAnswer,
    JournalAppend,
    JournalQuery,
    Recall,
    RecallAnswer,
    Release,
    Reserve,
    ReserveAnswer,
    Settle,
    SettleAnswer,
)
from oriolegauge.core.runstate import RunState
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.routing.crashquarantine import CrashReport
from oriolegauge.routing.crashsuspects import ServerCrash
from oriolegauge.routing.partindex import PartHeld

NEVER_MS = -1
UNKNOWN_TOKENS = -1
NO_STAMP_S = -1.0
UNLIMITED_PER_S = -1.0
NOT_BRITTLE = -1.0


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """State the version of a configuration object that a member holds.

    With a `digest` of the content, peers that hold the same content under an
    older version need not fetch it.
    """

    key: str
    version: int
    digest: int = 0


@dataclass(frozen=True, slots=True)
class ServerInFlight:
    """Count a member's requests on a backend server and their tokens."""

    server: str
    requests: int
    tokens: int


@dataclass(frozen=True, slots=True)
class ServerLoadDetail:
    """Describe the requests in flight on a server, for placing prompts.

    `held_pages` are their prompt and output tokens in units of 256.
    `slowness_tenths` is a sum over recent answers of 10 times the measured over
    the expected time, and `sample_tenths` 10 times their number; older ones
    count less. Coarse numbers make the message shorter.
    """

    held_pages: int
    slowness_tenths: int
    sample_tenths: int


@dataclass(frozen=True, slots=True)
class ServerSuspects:
    """List the fingerprints of suspect requests that run on a server."""

    server: str
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Heard:
    """State how long ago (ms) the sender last heard from a member."""

    member: str
    incarnation: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class HostSign:
    """State whether the platform's host list marks a server as leaving."""

    server: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """State that a backend server has announced that it leaves.

    `started_ms` (start of its process, Unix time) identifies the instance; the
    first announcement is `age_ms` old.
    """

    server: str
    started_ms: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """State the requests per second that a backend server last named.

    `per_s` is UNLIMITED_PER_S if it names none any more. The reply is `age_ms`
    old.
    """

    server: str
    started_ms: int
    per_s: float
    age_ms: int


@dataclass(frozen=True, slots=True)
class VersionShare:
    """State a version that got new streams of a service in a period.

    `ended_age_ms` tells how long ago the period ended, NEVER_MS if it is the
    present one.
    """

    period: int
    service: str
    version: str
    weight: int
    ended_age_ms: int


@dataclass(frozen=True, slots=True)
class BrittleService:
    """State how many rejections a second a service's servers bear.

    `per_s` is NOT_BRITTLE if they bear any number again. The reply that tells
    it is `age_ms` old.
    """

    service: str
    per_s: float
    age_ms: int


@dataclass(frozen=True, slots=True)
class WatchSign:
    """State how long ago (ms) a member was known to watch the store."""

    member: str
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Tell peers that a member is alive, and what it holds and runs.

    `strength` is the capacity class of the host, compared when a leader is
    chosen. `queue_lengths` is indexed by priority. `store_reached_age_ms` is
    the time since the last answer of the store, or NEVER_MS. Members that
    watch the store read the host list for the others. `config_versions` are
    revisions; `document_versions` hold the era of the store too.
    `later_versions` are those of documents that earlier builds do not know.
    `version_period` is the number of the present period, 0 if the member does
    not know of periods. `watch_signs` are those of the sender and, in a large
    fleet, of other members that watch the store. `lost_services` are those of
    which the member reaches no server. `relay_port` takes requests of members
    for which that is so, 0 if there is none. `brittle_services` are those whose
    servers fall over if they reject too many requests. `read_ages_ms` tell
    how long ago the store confirmed each of `document_versions` and
    `later_versions`, in their order; NEVER_MS if it never did.
    """

    member: str
    incarnation: str
    zone: str
    state: str
    config_versions: tuple[ConfigVersion, ...] = ()
    in_flight: tuple[ServerInFlight, ...] = ()
    queue_lengths: tuple[int, ...] = ()
    suspects: tuple[ServerSuspects, ...] = ()
    heard: tuple[Heard, ...] = ()
    store_reached_age_ms: int = NEVER_MS
    watches_store: bool = False
    host_signs: tuple[HostSign, ...] = ()
    strength: int = 0
    departures: tuple[LeavingServer, ...] = ()
    server_limits: tuple[ServerLimit, ...] = ()
    crashes: tuple[ServerCrash, ...] = ()
    document_versions: tuple[ConfigVersion, ...] = ()
    version_period: int = 0
    version_shares: tuple[VersionShare, ...] = ()
    later_versions: tuple[ConfigVersion, ...] = ()
    watch_signs: tuple[WatchSign, ...] = ()
    lost_services: tuple[str, ...] = ()
    relay_port: int = 0
    brittle_services: tuple[BrittleService, ...] = ()
    read_ages_ms: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigFetch:
    """Ask a peer for configuration objects.

    With `knows_eras` the versions may hold the era of the store.
    """

    keys: tuple[str, ...]
    knows_eras: bool = False


@dataclass(frozen=True, slots=True)
class ConfigObject:
    """Hold one configuration object; the value is JSON, compressed or not."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigObjects:
    """Return the configuration objects that a peer holds.

    `has_eras` states that their versions hold the era of the store.
    """

    objects: tuple[ConfigObject, ...]
    has_eras: bool = False


@dataclass(frozen=True, slots=True)
class Header:
    """Hold one HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Forward a caller's request to the peer that owns it."""

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
    """Ask the peer to cancel the request and its answer."""


@dataclass(frozen=True, slots=True)
class SuspectClaim:
    """Ask the coordinator whether a suspect request may run on a server."""

    fingerprint: str
    server: str


@dataclass(frozen=True, slots=True)
class SuspectRelease:
    """Tell the coordinator that a suspect request has ended on a server."""

    fingerprint: str
    server: str


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


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantDraw:
    """Ask the allocator for prepaid tokens, and report the spent ones."""

    team: str
    need: int
    ahead: int
    spent: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantLoan:
    """Ask a peer to transfer unspent prepaid tokens of a team."""

    team: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantHandOver:
    """Transfer unspent prepaid tokens to the allocator."""

    team: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantGiven:
    """Transfer unspent prepaid tokens to the daemon that asked for them.

    `reached_store` is false if the peer could not draw more from the store.
    `unspent` counts the team's tokens that are not known to be spent, or is
    UNKNOWN_TOKENS. If reserves exist, they may be opened in `opens_in_s`.
    """

    team: str
    tokens: int
    reached_store: bool = True
    unspent: int = UNKNOWN_TOKENS
    opens_in_s: float | None = None


@dataclass(frozen=True, slots=True)
class TeamTokens:
    """Count tokens of a team."""

    team: str
    tokens: int


@dataclass(frozen=True, slots=True)
class TeamPart:
    """State a team's part of a reserve; see `grants.ReservePart`."""

    team: str
    tokens: int
    open_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveRenewal:
    """Ask the allocator to renew the reserve of a process.

    See `grants.Renewal` for the fields.
    """

    host: str
    holder: str
    started: HostTimes
    stamp: HostTimes
    number: int
    believed: tuple[TeamPart, ...] = ()
    opened: tuple[TeamTokens, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveRenewed:
    """State what a reserve holds and should hold; `written` if confirmed.

    `ledger` is the ledger at `ledger_version` as compressed JSON, if known.
    """

    number: int
    written: bool
    held: tuple[TeamPart, ...] = ()
    targets: tuple[TeamPart, ...] = ()
    ledger_version: int = 0
    ledger: bytes = b''


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report all requests that a daemon runs on backend servers.

    `read` lists the prompt parts that servers read since the last report. With
    `is_question` the answer is a LoadTable, which covers the `wanted` parts.
    With `is_zone_sum` the report covers all daemons of the sender's
    availability zone. `load_details` has a row for each of `in_flight`, or none
    if the sender doesn't place by them. With `wants_parts_only` the table may
    leave the loads out.
    """

    in_flight: tuple[ServerInFlight, ...] = ()
    read: tuple[PartHeld, ...] = ()
    wanted: tuple[str, ...] = ()
    is_question: bool = False
    is_zone_sum: bool = False
    load_details: tuple[ServerLoadDetail, ...] = ()
    wants_parts_only: bool = False


@dataclass(frozen=True, slots=True)
class LoadTable:
    """Report what all other daemons run, and which servers read which parts.

    `load_details` has a row for each of `in_flight`, or none.
    """

    in_flight: tuple[ServerInFlight, ...] = ()
    read: tuple[PartHeld, ...] = ()
    load_details: tuple[ServerLoadDetail, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitRequest:
    """Ask for permits to send `wanted` requests to a limited server.

    With a `stamp_s` that the peer told in its last answer the sender lends its
    share of all limits: for `lease_s` from that time of the peer's clock.
    """

    server: str = ''
    started_ms: int = 0
    per_s: float = 0
    wanted: int = 0
    stamp_s: float = NO_STAMP_S
    lease_s: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitsGiven:
    """Give permits, or tell after which time to ask again.

    `stamp_s` is the clock of the sender.
    """

    count: int
    wait_s: float
    stamp_s: float


@dataclass(frozen=True, slots=True)
class StreamStart:
    """State which software version of a service's servers began a stream.

    The stream of the caller's attempt began `age_ms` ago.
    """

    attempt: str
    service: str
    version: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class StreamStarts:
    """Report streams to a daemon that remembers them, or answer a query."""

    starts: tuple[StreamStart, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStartQuery:
    """Ask a daemon which version began the stream of a caller's attempt.

    The answer is a StreamStarts with one row, or none if it isn't known.
    """

    attempt: str


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
    'settleAnswer': SettleAnswer,
    'release': Release,
    'recall': Recall,
    'recallAnswer': RecallAnswer,
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
    'suspectClaim': SuspectClaim,
    'suspectRelease': SuspectRelease,
    'grantDraw': GrantDraw,
    'grantLoan': GrantLoan,
    'grantHandOver': GrantHandOver,
    'grantGiven': GrantGiven,
    'loadReport': LoadReport,
    'loadTable': LoadTable,
    'reserveRenewal': ReserveRenewal,
    'reserveRenewed': ReserveRenewed,
    'permitRequest': PermitRequest,
    'permitsGiven': PermitsGiven,
    'streamStarts': StreamStarts,
    'streamStartQuery': StreamStartQuery,
}

Message = (
    Heartbeat
    | Reserve
    | ReserveAnswer
    | Settle
    | SettleAnswer
    | Release
    | Recall
    | RecallAnswer
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
    | SuspectClaim
    | SuspectRelease
    | GrantDraw
    | GrantLoan
    | GrantHandOver
    | GrantGiven
    | LoadReport
    | LoadTable
    | ReserveRenewal
    | ReserveRenewed
    | PermitRequest
    | PermitsGiven
    | StreamStarts
    | StreamStartQuery
)
