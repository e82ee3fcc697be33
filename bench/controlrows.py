"""Rows of the capacity page: configuration, placement, membership."""

from bench import capacitymodel as model
from bench.capacitymodel import Model
from bench.capacityrow import (
    BYTES,
    CORE,
    MEMORY,
    READS,
    VERSIONS,
    WRITES,
    Row,
    by_kind,
)

CONFIG_RELAY = (
    Row(
        'memory of the tree, MB',
        '`ConfigTree`, one caller key per budget',
        ('config_key_bytes',),
        lambda at: at.config_bytes() / 1e6,
        MEMORY,
        'each daemon holds the keys of all teams twice, raw and parsed',
    ),
    Row(
        'version rows sent, bytes a second per daemon',
        '`Heartbeat.config_versions`',
        (
            'heartbeat_deflated_bytes_per_versions',
            'heartbeat_plain_bytes_per_versions',
        ),
        Model.version_bytes_per_s,
        BYTES,
        VERSIONS,
    ),
    Row(
        'team objects fetched, bytes a second per daemon',
        '`ConfigFetch`, each change to each daemon',
        ('team_object_bytes_per_key',),
        Model.config_fetch_bytes_per_s,
        BYTES,
        'a change of one key sends the whole team',
    ),
    Row(
        'server list fetched, bytes a second per daemon',
        '`ConfigFetch` of `config/servers`, a change per replaced host',
        ('servers_object_bytes_per_server',),
        Model.server_fetch_bytes_per_s,
        BYTES,
        'a change of one server sends all servers',
    ),
    Row(
        'watches at the store, fleet',
        '`StoreWatch`, one daemon per zone',
        (),
        lambda at: at.sizes.zones,
        READS,
        'nothing at this size',
    ),
)

PLACER = (
    Row(
        'leases, fleet',
        '`PlacementLoop`, one leader per model by `ModelLease`',
        (),
        lambda at: at.sizes.models,
        WRITES,
        'nothing at this size',
    ),
    Row(
        'hours of weight loads a day',
        '`LoadPacer`, one load per 10 s in the fleet',
        (),
        lambda at: at.sizes.replaced_per_day * model.LOAD_INTERVAL_S / 3_600,
        '24 h',
        'the interval of 10 s after a zone is lost',
    ),
    Row(
        'minutes to load the replicas of a lost zone again',
        '`LoadPacer`',
        (),
        lambda at: (
            at.sizes.replicas / at.sizes.zones * model.LOAD_INTERVAL_S / 60
        ),
        'none stated',
        'the interval is for the fleet, not for a region',
    ),
)

MEMBERSHIP = (
    Row(
        'journal queries a day, fleet',
        '`JournalQuery` to each peer when a dead holder is closed',
        (),
        lambda at: at.sizes.replaced_per_day * at.peers,
        'none stated',
        'a lost zone: all its holders at once, each asked of all members',
    ),
    Row(
        'bytes of one heartbeat',
        '`Heartbeat` to each peer',
        (
            *by_kind('heartbeat_deflated_bytes'),
            *by_kind('heartbeat_plain_bytes'),
        ),
        Model.heartbeat_bytes,
        'none stated',
        '16 kB, above which heartbeats are not deflated',
    ),
    Row(
        'heartbeats sent a second, per daemon',
        'full mesh, each 500 ms',
        (),
        Model.heartbeats_per_s,
        'none stated',
        'links grow with the square of daemons',
    ),
    Row(
        'heartbeat bytes a second, sent per daemon',
        'full mesh',
        (
            *by_kind('heartbeat_deflated_bytes'),
            *by_kind('heartbeat_plain_bytes'),
        ),
        Model.heartbeat_bytes_per_s,
        BYTES,
        VERSIONS,
    ),
    Row(
        'core share of encoding heartbeats',
        '`PeerLink.send`, once per link',
        by_kind('heartbeat_encode_us'),
        Model.encode_share,
        CORE,
        'the same heartbeat is encoded for each peer',
    ),
    Row(
        'core share of decoding and observing heartbeats',
        '`PeerServer` and `MemberTable.observe`',
        (*by_kind('heartbeat_decode_us'), 'member_observe_us'),
        Model.decode_share,
        CORE,
        VERSIONS,
    ),
    Row(
        'core share of views',
        '`MemberTable.view`, twice per request and per heartbeat round',
        ('member_view_us',),
        Model.view_share,
        CORE,
        'the view is sorted and compared again on each call',
    ),
    Row(
        'memory of received heartbeats, MB',
        '`PeerMesh.heartbeats`',
        by_kind('heartbeat_held_bytes'),
        lambda at: at.held_heartbeat_bytes() / 1e6,
        MEMORY,
        'each daemon holds the rows of all others',
    ),
    Row(
        'memory of the member table, MB',
        '`MemberRecord.reports`, a row per pair',
        ('member_bytes', 'member_pair_bytes'),
        lambda at: at.member_bytes() / 1e6,
        MEMORY,
        'reports grow with the square of members',
    ),
)
