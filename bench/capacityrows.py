"""Rows of the capacity page, by the role that a daemon has."""

from bench import capacitymodel as model
from bench.capacitymodel import Model
from bench.capacityrow import (
    BYTES,
    CORE,
    MEMORY,
    READS,
    WRITES,
    Row,
)
from bench.controlrows import CONFIG_RELAY, MEMBERSHIP, PLACER

ENTRY = (
    Row(
        'memory of servers, MB',
        '`Router` and `ConcurrencyLimit`',
        ('server_bytes',),
        lambda at: at.sizes.replicas * at.slope('server_bytes') / 1e6,
        MEMORY,
        'nothing at this size; `MAX_SERVERS` is 4,096',
    ),
    Row(
        'core share of listing servers',
        '`ServerPool.engines`, twice per request and 20 times a second',
        ('server_list_us',),
        Model.server_list_share,
        CORE,
        'a list of all servers is built for each request and each pump',
    ),
    Row(
        'core share of choosing by prefix',
        '`Router.choose`',
        ('router_choose_prefix_us',),
        Model.choose_share,
        'serving cost',
        'rendezvous rank of all candidates of the model',
    ),
    Row(
        'time per stream event, us',
        '`Router.progress`, median of all servers',
        ('router_progress_us',),
        Model.progress_us,
        '60 us per token',
        'the median is taken over all servers for each event',
    ),
    Row(
        'core share of stream events',
        '`Router.progress`, one event per token',
        ('router_progress_us',),
        Model.progress_share,
        'serving cost',
        'the same median',
    ),
    Row(
        'core share of the queue',
        '`AdmissionQueue`',
        ('queue_job_us',),
        Model.queue_share,
        'serving cost',
        'the bound of 1,000 waiting jobs per class, not time',
    ),
    Row(
        'load reports asked a second, per daemon',
        '`ServerWatch`, each engine each second',
        (),
        lambda at: at.sizes.replicas * model.REPORTS_PER_S,
        CORE,
        'each daemon polls each engine; processor time per poll not measured',
    ),
    Row(
        'load reports answered a second, per engine',
        '`ServerWatch`',
        (),
        lambda at: at.sizes.daemons * model.REPORTS_PER_S,
        'none stated',
        'the engine answers as many polls as there are daemons',
    ),
    Row(
        'host list reads a second, fleet',
        '`ServerWatch`, one daemon per zone every 2 s',
        (),
        lambda at: at.sizes.zones * model.HOST_LISTS_PER_S,
        READS,
        'heartbeats of these daemons carry a row for each listed server',
    ),
)

BUDGET_HOME = (
    Row(
        'memory of accounts, MB',
        '`BudgetAccount` of budgets used in 5 minutes',
        ('budget_account_bytes',),
        lambda at: at.account_bytes() / 1e6,
        MEMORY,
        '`ACCOUNTS_MAX` of 50,000',
    ),
    Row(
        'memory of cached shards, MB',
        '`ShardLog.stored` of every shard written once',
        ('shard_held_bytes_per_budget', 'shard_held_bytes_per_key'),
        lambda at: at.held_shard_bytes() / 1e6,
        MEMORY,
        'settled keys held by each daemon that wrote to the shard',
    ),
    Row(
        'shard object, KB',
        'store object `budgets/<n>`',
        (
            'shard_bytes_per_budget',
            'shard_bytes_per_holder',
            'shard_bytes_per_key',
        ),
        lambda at: at.shard_bytes() / 1e3,
        '1,000 KB a value',
        'all budgets of a team share a shard; the largest team first',
    ),
    Row(
        'processor time per write attempt, ms',
        '`apply_flush` with JSON both ways',
        ('flush_us_per_budget', 'flush_us_per_key', 'shard_codec_us_per_key'),
        lambda at: at.shard_write_us() / 1e3,
        CORE,
        'the set of settled keys is built again for each write',
    ),
    Row(
        'conditional writes a second, fleet',
        '`ShardLog`, each dirty shard each 2 s, without conflicts',
        (),
        Model.flushes_per_s,
        WRITES,
        'each daemon writes each shard itself',
    ),
    Row(
        'shard bytes written a second, per daemon, KB',
        '`ShardLog`',
        ('shard_bytes_per_key', 'shard_bytes_per_budget'),
        lambda at: (
            at.flushes_per_s() / at.sizes.daemons * at.shard_bytes() / 1e3
        ),
        BYTES,
        'a flush writes the whole object',
    ),
    Row(
        'seconds that a shard remembers a billed id',
        '`settled_keys`, all requests keyed, even load',
        (),
        Model.key_window_s,
        'at least the 600 s of replay',
        'a busy team, whose ids leave the list within the replay window',
    ),
    Row(
        'budget of N requests is scarce below',
        '`SCARCE_REQUESTS` per live daemon',
        (),
        lambda at: model.SCARCE_REQUESTS * at.sizes.daemons,
        'none stated',
        'small budgets get a grant per request, each a store write',
    ),
    Row(
        'bytes a second of journal copies sent, per daemon',
        '`JournalWriter`, 2 copies, unbatched',
        ('journal_append_bytes',),
        Model.journal_bytes_per_s,
        BYTES,
        'each answer sends 2 messages; as many arrive',
    ),
    Row(
        'bytes of one list of all shards, MB',
        '`DeadHolders`, each daemon every 60 s',
        ('shard_bytes_per_budget', 'shard_bytes_per_key'),
        lambda at: at.shard_list_bytes() / 1e6,
        BYTES,
        'memory of the decoded list, then bytes',
    ),
)

REQUEST_OWNER = (
    Row(
        'records of the replay window',
        '`RequestLedger`',
        (),
        Model.record_count,
        '10,000 records',
        '`RECORDS_MAX` shortens the window',
    ),
    Row(
        'memory of records with answers of 1 KB, MB',
        '`RequestLedger`, at most 10,000 records',
        ('request_record_bytes',),
        Model.record_bytes_mb,
        '64 MB of answers',
        '`RECORDS_MAX`',
    ),
    Row(
        'seconds that a streamed answer can be replayed',
        '`RequestLedger`, parts of 200 B, one per token',
        ('request_part_bytes',),
        Model.replay_s,
        '600 s',
        'the 64 MB of answers',
    ),
    Row(
        'memory of forgotten ids, MB',
        '`RequestLedger` tombstones, at their bound',
        ('tombstone_bytes',),
        lambda at: model.TOMBSTONES_MAX * at.slope('tombstone_bytes') / 1e6,
        MEMORY,
        'the bound of 100,000 ids, not memory',
    ),
    Row(
        'core share of finding the owner',
        '`rank` over all members',
        ('owner_rank_us',),
        Model.owner_share,
        CORE,
        'time grows with members for each keyed request',
    ),
    Row(
        'share of keyed requests that are forwarded',
        '`Forwarder`',
        (),
        lambda at: at.peers / at.sizes.daemons,
        'serving cost',
        'an owner in another region adds a round trip between regions',
    ),
    Row(
        'requests forwarded a second, sent per daemon',
        '`Forward`; as many arrive',
        (),
        lambda at: at.requests_per_daemon * at.peers / at.sizes.daemons,
        'serving cost',
        'each streamed event passes two daemons',
    ),
    Row(
        'intents that fit in 24 h, fleet',
        '`IntentLog`, objects `intents/<n>`',
        ('intent_bytes',),
        Model.intents_per_day,
        '1% of requests is '
        f'{model.TWO_YEARS.requests_per_s * model.DAY_S / 100:,.0f}'
        ' a day in two years',
        'object size, then one write per claim batch and daemon',
    ),
)

ROLES = {
    'Entry': ENTRY,
    'Budget home': BUDGET_HOME,
    'Request owner': REQUEST_OWNER,
    'Configuration relay': CONFIG_RELAY,
    'Placer': PLACER,
    'Membership': MEMBERSHIP,
}
