"""Texts of the capacity page."""

from bench import capacitymodel as limits
from bench.capacitymodel import Model, distinct

LINKS_PER_DAEMON = 10
SETTLE_WRITES_PER_S = 200
STORE_CALL_S = 0.005

HEAD = """# Capacity

`make capacity` computes this page from `capacity-slopes.json` alone;
`python -m bench.slopes --write` measures the slopes again. A value of today
or of two years is a slope times a size, or a count that follows from a
period in the code ("counted"). It is not a run at that size: where a size is
outside the fitted range, the line is extended. Costs of connections, TLS,
framing and garbage collection are not in it, except in the two slopes of
idle fleets, which `BENCH_LARGE=1 python -m bench.fleetcosts --write` takes
from real processes."""

SIZES = """The sizes of two years are those of section 1.5 of the design page.
Today's requests and tokens a second, budgets, changes, replaced hosts and
models are assumptions; the other sizes are those of section 1.5 and the
default settings. Assumed at both sizes: even load over budgets, daemons and
servers, one token per stream event, 70 ms between tokens, all requests
keyed, and one caller key per budget."""

SLOPES = """Memory is what stays allocated (tracemalloc). Processor time is the
least of repeated samples on a shared machine; its error is the standard error
of the fit or half the range of three rounds, whichever is larger, because the
speed of the machine varies by up to two times. The residual is the largest
distance of a point from the line, as a share of the largest value."""


def number(value: float) -> str:
    """Return three significant digits, without an exponent."""
    if value >= 100:
        digits = len(str(int(value)))
        return f'{round(value, 3 - digits):,.0f}'
    return f'{value:.3g}' if value >= 1e-4 or value == 0 else f'{value:.6f}'


def not_carried(at: Model) -> str:
    """Return the section on what fails at the size of two years."""
    points = [
        _mesh(at),
        _versions(at),
        _memory(at),
        _polling(at),
        _listing(at),
        _writes(at),
        _hot_shard(at),
        _keys(at),
        _hot_path(at),
        _small_budgets(at),
        _replay(at),
        _reloads(at),
    ]
    rows = '\n'.join(
        f'{place}. {point}' for place, point in enumerate(points, 1)
    )
    return (
        '## Not carried at the size of two years\n\n'
        "Today's code does not carry that size. What fails, and the change "
        f'it needs:\n\n{rows}'
    )


def _mesh(at: Model) -> str:
    bytes_left = limits.BYTES_PER_S / limits.HEARTBEATS_PER_S / LINKS_PER_DAEMON
    core = at.encode_share() + at.decode_share()
    return (
        f'**Full mesh.** {number(at.peers)} links per daemon carry '
        f'{number(at.heartbeat_bytes_per_s() / 1e6)} MB/s of heartbeats each '
        f'way, {number(at.heartbeat_bytes_per_s() / limits.BYTES_PER_S)} '
        f'times the 15 KB/s, and take {number(core)} cores, '
        f'{number(core / limits.CORE_SHARE)} times the 2%. Change: a partial '
        f'view. With {LINKS_PER_DAEMON} links at 2 heartbeats a second, '
        f'15 KB/s leave {number(bytes_left)} bytes for a heartbeat and nothing '
        'else, so it has to carry changes and digests instead of full lists.'
    )


def _versions(at: Model) -> str:
    share = at.version_bytes_per_s() / at.heartbeat_bytes_per_s()
    return (
        '**Configuration versions in each heartbeat.** '
        f'{number(at.rows["versions"])} rows are {number(100 * share)}% of '
        f'a heartbeat of {number(at.heartbeat_bytes() / 1e3)} KB. Change: '
        'one digest and the highest version per heartbeat, and the rows only '
        'to a peer whose digest differs. '
        f'{number(at.sizes.changes_per_day / limits.DAY_S)} changes a second '
        'then cost one row each.'
    )


def _memory(at: Model) -> str:
    return (
        f'**Memory.** Received heartbeats take '
        f'{number(at.held_heartbeat_bytes() / 1e6)} MB, reports between '
        f'members {number(at.member_bytes() / 1e6)} MB, cached shards '
        f'{number(at.held_shard_bytes() / 1e6)} MB and caller keys '
        f'{number(at.config_bytes() / 1e6)} MB, against 256 MB for all. '
        'Change: bounded views, reports only about silent members, shard '
        'values held by the home of the shard alone, and caller keys looked '
        'up by hash range instead of held by each daemon.'
    )


def _polling(at: Model) -> str:
    each = at.sizes.replicas * limits.REPORTS_PER_S
    hosts = at.sizes.zones * limits.HOST_LISTS_PER_S
    return (
        f'**Polls.** Each daemon asks {number(each)} engines a second, in '
        f'all {number(each * at.sizes.daemons)} polls a second. The host list '
        f'takes {number(hosts)} reads a second, as one daemon per zone reads '
        'it. Change: a few daemons per zone poll an engine and pass on '
        'changes; a daemon uses a subset of the engines.'
    )


def _listing(at: Model) -> str:
    calls = at.sizes.daemons / limits.SHARD_LIST_PERIOD_S
    size = at.shard_list_bytes()
    return (
        '**Lists of all budget shards.** Every 60 s each daemon reads '
        f'{number(size / 1e6)} MB, '
        f'{number(size / limits.SHARD_LIST_PERIOD_S / limits.BYTES_PER_S)} '
        f'times the 15 KB/s; the decoded list takes '
        f'{number(at.held_shard_bytes() / 1e9)} GB. The fleet makes '
        f'{number(calls)} such calls and reads {number(calls * size / 1e9)} '
        'GB a second. Change: the home of a shard alone reads it, and looks '
        'for dead holders there.'
    )


def _writes(at: Model) -> str:
    writes = at.flushes_per_s()
    period = at.used_shards() / SETTLE_WRITES_PER_S
    per_1k = SETTLE_WRITES_PER_S / at.sizes.requests_per_s * 1_000
    bytes_left = limits.BYTES_PER_S * at.sizes.daemons / SETTLE_WRITES_PER_S
    return (
        f'**Writes by each holder.** With {number(at.dirty_shards())} dirty '
        f'shards per daemon and flush, the fleet writes {number(writes)} '
        f'times a second, {number(writes / limits.WRITES_PER_S)} times the '
        '400 of the store, before conflicts. Even one shard per daemon and '
        f'flush is {number(at.sizes.daemons / limits.FLUSH_PERIOD_S)}. '
        'Change: holders send settlements to the home of the shard, which '
        f'writes for all. At half of the writes ({SETTLE_WRITES_PER_S} a '
        f'second) {number(at.used_shards())} shards are written every '
        f'{number(period)} s, {number(per_1k)} calls per 1,000 requests '
        'against the target of under 10. The bytes of all daemons together '
        f'then allow {number(bytes_left / 1e3)} KB per write, and a shard has '
        f'{number(at.shard_bytes() / 1e3)} KB: the settled keys have to '
        'leave the object that is written at each flush.'
    )


def _hot_shard(at: Model) -> str:
    asked = at.sizes.daemons / limits.FLUSH_PERIOD_S
    work = at.shard_write_us() / limits.US_PER_S
    allowed = 1 / (2 * STORE_CALL_S + work)
    return (
        '**Many holders in one hot shard.** A budget drawn on everywhere has '
        f'{number(at.sizes.daemons)} holders that each write every 2 s: '
        f'{number(asked)} conditional writes a second of one object. Each '
        f'attempt computes for {number(1e3 * work)} ms; with 5 ms per store '
        f'call (an assumption) at most {number(allowed)} a second succeed '
        'one after another, and the rest conflict, up to 10 attempts each. '
        'Change: one writer per shard, and grants handed down by a holder '
        'per region to the daemons there.'
    )


def _keys(at: Model) -> str:
    rate = limits.SETTLED_KEYS_MAX / limits.REPLAY_WINDOW_S
    mean = at.sizes.requests_per_s / at.used_shards()
    return (
        f'**Settled keys.** {limits.SETTLED_KEYS_MAX:,} ids cover the replay '
        f'window of 600 s up to {number(rate)} keyed requests a second per '
        f'shard. The mean is {number(mean)}; a team with '
        f'{number(rate / mean)} times the mean is past it, and a late retry '
        'at another owner could be billed twice. Change: ids in segments by '
        'time, outside the shard.'
    )


def _hot_path(at: Model) -> str:
    servers = 60 / at.slope('router_progress_us')
    return (
        f'**All servers on the path of a token.** The median in '
        f'`Router.progress` takes {number(at.progress_us())} us per event '
        f'with {number(at.sizes.replicas)} servers, against 60 us per token '
        f'in all, which it alone reaches at {number(servers)} servers; the '
        f'events of a daemon take {number(at.progress_share())} cores. The '
        f'list of servers takes {number(at.server_list_share())} of a core '
        f'and views of the members {number(at.view_share())}. Change: keep '
        'the median for a period, compare within a sample of the model, and '
        'build lists and views only when they change.'
    )


def _small_budgets(at: Model) -> str:
    scarce = limits.SCARCE_REQUESTS * at.sizes.daemons
    even = 256 / at.sizes.daemons
    return (
        f'**Shares by the number of daemons.** A budget counts as scarce '
        f'below {number(scarce)} of its largest requests, so most small '
        'budgets get tokens request by request. The even share of a server '
        f'with the highest limit of 256 is {number(even)} requests per '
        'daemon, which is rounded down to 0, and late heartbeats alone '
        'decide. Change: count the daemons that use the budget or server.'
    )


def _replay(at: Model) -> str:
    return (
        f'**Replay.** A daemon owns {number(at.record_count())} records in '
        f'600 s, above the 10,000, and its 64 MB of streamed answers last '
        f'for {number(at.replay_s())} s. Change: join the parts of an ended '
        'answer, and a bound that follows the load.'
    )


def _reloads(at: Model) -> str:
    loads = at.sizes.replicas / at.sizes.zones
    minutes = loads * limits.LOAD_INTERVAL_S / 60
    return (
        f'**Reload after a lost zone.** {number(loads)} replicas at one load '
        f'per 10 s take {number(minutes)} minutes. Change: a rate per region '
        'and weight store.'
    )


def todays_sizes(at: Model) -> str:
    """Return the section on the sizes of today."""
    core = at.encode_share() + at.decode_share() + at.view_share()
    memory = (
        at.held_heartbeat_bytes()
        + at.member_bytes()
        + at.held_shard_bytes()
        + at.config_bytes()
        + at.account_bytes()
    )
    sent = at.heartbeat_bytes_per_s() + at.journal_bytes_per_s()
    # A flush writes and, when another holder wrote before, also reads.
    calls = 2 * at.flushes_per_s() / at.sizes.requests_per_s * 1_000
    idle = at.sizes.zones * (limits.HOST_LISTS_PER_S + 1)
    needed = (2 * at.flushes_per_s() + idle) / limits.CALLS_PER_1K * 1_000
    flushed = at.flushes_per_s() / at.sizes.daemons * at.shard_bytes()
    links = distinct(at.sizes.replicas, at.running_per_daemon)
    return '\n'.join(
        (
            "## Today's sizes",
            '',
            f'With {at.sizes.daemons} daemons and {at.sizes.replicas} '
            'replicas memory and the number of writes are carried. Not '
            'within their targets are the processor time of an idle daemon, '
            'the bytes of shard writes, store calls per request, settled '
            'keys and the replay of streams, at the assumed load:',
            '',
            f'- heartbeats of {number(at.heartbeat_bytes())} bytes with '
            f'{number(links)} servers in flight; '
            f'{number(at.heartbeat_bytes_per_s())} bytes a second sent, and '
            f'{number(sent)} with journal copies, of 15,000;',
            f'- {number(at.idle_share())} of a core for an idle daemon, of '
            '0.02, from fleets of real processes (the costliest daemon). By '
            f'the slopes, heartbeats and views take {number(core)} at the '
            'assumed load; what takes the rest was not measured. The limit '
            'is reached at '
            f'{number(at.idle_daemons_max())} daemons;',
            f'- {number(at.idle_rss_bytes() / 1e6)} MB for an idle process '
            f'and {number(memory / 1e6)} MB of state, of 256;',
            f'- {number(at.flushes_per_s())} writes a second, of 400. A '
            'flush that finds another writer also reads, which makes '
            f'{number(calls)} calls per 1,000 requests at '
            f'{number(at.sizes.requests_per_s)} requests a second. Flushes, '
            'host lists and probes go by time, not by requests: the target '
            f'of under 10 is met from {number(needed)} requests a second on;',
            f'- {number(flushed / 1e3)} KB a second of shard values written '
            'per daemon once the list of settled keys is full, above the '
            '15 KB/s: a flush writes the whole object of '
            f'{number(at.shard_bytes() / 1e3)} KB. The change is the same as '
            'in two years, the keys outside the object;',
            f'- a shard remembers a billed id for {number(at.key_window_s())} '
            's if all requests are keyed, less than the replay window of '
            '600 s. One shard covers the '
            'window up to '
            f'{number(limits.SETTLED_KEYS_MAX / limits.REPLAY_WINDOW_S)} '
            'keyed requests a second; `budget_shards` divides it by team;',
            f'- streamed answers of {number(at.tokens_per_request)} parts '
            f'can be replayed for {number(at.replay_s())} s instead of '
            '600 s, because of the 64 MB;',
            f'- {number(at.intents_per_day())} intents fit in 24 h with 4 '
            'objects; above that, keyed non-idempotent requests are refused.',
        )
    )
