"""Compute the costs of a fleet from measured slopes and its size."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from bench.slope import Slope

# Periods and limits of the product, as its code has them.
HEARTBEATS_PER_S = 2
REPORTS_PER_S = 1
HOST_LISTS_PER_S = 0.5
SHARD_LIST_PERIOD_S = 60
FLUSH_PERIOD_S = 2
VIEWS_PER_REQUEST = 2
SERVER_LISTS_PER_REQUEST = 2
QUEUE_CHECKS_PER_S = 20
SETTLED_KEYS_MAX = 20_000
REPLAY_WINDOW_S = 600
RECORDS_MAX = 10_000
ANSWER_BYTES_MAX = 64_000_000
TOMBSTONES_MAX = 100_000
SCARCE_REQUESTS = 8
INTENT_OBJECT_BYTES = 900_000
SHARDS_MAX = 4_096
OTHER_SUBTREES = 4
JOURNAL_COPIES = 2
DEFLATE_TO_BYTES = 16 * 1024
LOAD_INTERVAL_S = 10
TOKEN_S = 0.07
DAY_S = 86_400
US_PER_S = 1_000_000
# Limits of sections 1.3 and 1.4 of the design page.
CORE_SHARE = 0.02
MEMORY_BYTES = 256_000_000
BYTES_PER_S = 15_000
WRITES_PER_S = 400
READS_PER_S = 2_000
VALUE_BYTES = 1_000_000
CALLS_PER_1K = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class Sizes:
    """Hold the size of a fleet and its load."""

    daemons: int
    replicas: int
    models: int
    budgets: int
    teams: int
    zones: int
    requests_per_s: float
    tokens_per_s: float
    changes_per_day: float
    replaced_per_day: float
    shards: int
    intent_shards: int


TODAY = Sizes(
    daemons=8,
    replicas=6,
    models=2,
    budgets=20,
    teams=10,
    zones=3,
    requests_per_s=100,
    tokens_per_s=28_000,
    changes_per_day=100,
    replaced_per_day=1,
    shards=1,
    intent_shards=4,
)
TWO_YEARS = Sizes(
    daemons=700,
    replicas=2_500,
    models=7,
    budgets=580_000,
    teams=990,
    zones=22,
    requests_per_s=20_000,
    tokens_per_s=5_600_000,
    changes_per_day=9_500,
    replaced_per_day=663,
    shards=SHARDS_MAX,
    intent_shards=SHARDS_MAX,
)


class Model:
    """Compute costs of one daemon or of the fleet at one size."""

    def __init__(self, sizes: Sizes, slopes: Mapping[str, Slope]) -> None:
        self.sizes = sizes
        self._slopes = slopes

    @property
    def peers(self) -> int:
        return self.sizes.daemons - 1

    @property
    def requests_per_daemon(self) -> float:
        return self.sizes.requests_per_s / self.sizes.daemons

    @property
    def tokens_per_request(self) -> float:
        return self.sizes.tokens_per_s / self.sizes.requests_per_s

    @property
    def running_per_daemon(self) -> float:
        return self.requests_per_daemon * self.tokens_per_request * TOKEN_S

    @property
    def candidates(self) -> float:
        """Return the replicas of one model."""
        return self.sizes.replicas / self.sizes.models

    @property
    def rows(self) -> dict[str, float]:
        """Return the rows of one heartbeat."""
        return {
            'versions': self.sizes.teams + OTHER_SUBTREES,
            'servers': distinct(self.sizes.replicas, self.running_per_daemon),
            'heard': self.peers,
        }

    def slope(self, name: str) -> float:
        return self._slopes[name].slope

    def heartbeat_bytes(self) -> float:
        plain = self._sum_over_rows('heartbeat_plain_bytes_per_')
        if plain > DEFLATE_TO_BYTES:
            return plain
        fixed_cost = self._slopes[
            'heartbeat_deflated_bytes_per_versions'
        ].intercept
        return fixed_cost + self._sum_over_rows('heartbeat_deflated_bytes_per_')

    def heartbeats_per_s(self) -> float:
        return self.peers * HEARTBEATS_PER_S

    def heartbeat_bytes_per_s(self) -> float:
        return self.heartbeat_bytes() * self.heartbeats_per_s()

    def version_bytes_per_s(self) -> float:
        """Return the part of the heartbeats that are version rows."""
        plain = (
            self._sum_over_rows('heartbeat_plain_bytes_per_') > DEFLATE_TO_BYTES
        )
        form = 'plain' if plain else 'deflated'
        each = self.slope(f'heartbeat_{form}_bytes_per_versions')
        return each * self.rows['versions'] * self.heartbeats_per_s()

    def encode_share(self) -> float:
        fixed_cost = self._slopes['heartbeat_encode_us_per_versions'].intercept
        each_us = fixed_cost + self._sum_over_rows('heartbeat_encode_us_per_')
        return each_us * self.heartbeats_per_s() / US_PER_S

    def decode_share(self) -> float:
        fixed_cost = self._slopes['heartbeat_decode_us_per_versions'].intercept
        each_us = fixed_cost + self._sum_over_rows('heartbeat_decode_us_per_')
        each_us += self.slope('member_observe_us') * self.peers
        return each_us * self.heartbeats_per_s() / US_PER_S

    def idle_share(self) -> float:
        """Return the share of a core of an idle daemon, from real fleets."""
        one = self._slopes['idle_core_us_per_s']
        return one.at(self.sizes.daemons) / US_PER_S

    def idle_daemons_max(self) -> float:
        """Return the fleet at which an idle daemon reaches its share."""
        one = self._slopes['idle_core_us_per_s']
        return (CORE_SHARE * US_PER_S - one.intercept) / one.slope

    def idle_rss_bytes(self) -> float:
        return self._slopes['idle_rss_bytes'].at(self.sizes.daemons)

    def view_share(self) -> float:
        views = VIEWS_PER_REQUEST * self.requests_per_daemon + HEARTBEATS_PER_S
        return views * self.slope('member_view_us') * self.peers / US_PER_S

    def held_heartbeat_bytes(self) -> float:
        fixed_cost = self._slopes['heartbeat_held_bytes_per_versions'].intercept
        return self.peers * (
            fixed_cost + self._sum_over_rows('heartbeat_held_bytes_per_')
        )

    def member_bytes(self) -> float:
        pairs = self.peers**2 * self.slope('member_pair_bytes')
        return pairs + self.peers * self.slope('member_bytes')

    def used_shards(self) -> float:
        """Return how many shards the teams fall into."""
        return distinct(self.sizes.shards, self.sizes.teams)

    def budgets_per_shard(self) -> float:
        return self.sizes.budgets / self.used_shards()

    def key_window_s(self) -> float:
        """Return how long a shard remembers an id, all requests keyed."""
        rate = self.sizes.requests_per_s / self.used_shards()
        return SETTLED_KEYS_MAX / rate

    def shard_bytes(self) -> float:
        return (
            self.budgets_per_shard() * self.slope('shard_bytes_per_budget')
            + self.sizes.daemons * self.slope('shard_bytes_per_holder')
            + SETTLED_KEYS_MAX * self.slope('shard_bytes_per_key')
        )

    def shard_write_us(self) -> float:
        """Return the time to read, update and write a shard once."""
        return sum(
            self.slope(f'{kind}_us_per_{item}') * count
            for kind in ('flush', 'shard_codec')
            for item, count in (
                ('budget', self.budgets_per_shard()),
                ('holder', self.sizes.daemons),
                ('key', SETTLED_KEYS_MAX),
            )
        )

    def dirty_shards(self) -> float:
        """Return the shards that one daemon writes in a flush period."""
        return distinct(
            self.used_shards(), self.requests_per_daemon * FLUSH_PERIOD_S
        )

    def flushes_per_s(self) -> float:
        """Return the conditional writes of the fleet, without conflicts."""
        return self.sizes.daemons * self.dirty_shards() / FLUSH_PERIOD_S

    def held_shard_bytes(self) -> float:
        """Return the memory of the cached values of all shards."""
        return self.sizes.budgets * self.slope(
            'shard_held_bytes_per_budget'
        ) + self.used_shards() * SETTLED_KEYS_MAX * self.slope(
            'shard_held_bytes_per_key'
        )

    def shard_list_bytes(self) -> float:
        return self.used_shards() * self.shard_bytes()

    def account_bytes(self) -> float:
        """Return the memory of accounts; they stay for about 5 minutes."""
        seen = distinct(self.sizes.budgets, self.requests_per_daemon * 300)
        return seen * self.slope('budget_account_bytes')

    def record_count(self) -> float:
        return self.requests_per_daemon * REPLAY_WINDOW_S

    def record_bytes_mb(self) -> float:
        kept = min(RECORDS_MAX, self.record_count())
        return kept * self.slope('request_record_bytes') / 1e6

    def replay_s(self) -> float:
        """Return how long an answer of many parts can be replayed."""
        held = self.tokens_per_request * self.slope('request_part_bytes')
        kept = min(RECORDS_MAX, ANSWER_BYTES_MAX / held)
        return min(REPLAY_WINDOW_S, kept / self.requests_per_daemon)

    def owner_share(self) -> float:
        each_us = self.slope('owner_rank_us') * self.sizes.daemons
        return each_us * self.requests_per_daemon / US_PER_S

    def journal_bytes_per_s(self) -> float:
        one = self._slopes['journal_append_bytes']
        return self.requests_per_daemon * JOURNAL_COPIES * one.at(1)

    def intents_per_day(self) -> float:
        each = self.slope('intent_bytes')
        return self.sizes.intent_shards * INTENT_OBJECT_BYTES / each

    def config_bytes(self) -> float:
        return self.sizes.budgets * self.slope(
            'config_key_bytes'
        ) + self.sizes.teams * max(
            0, self._slopes['config_key_bytes'].intercept
        )

    def team_object_bytes(self) -> float:
        keys = self.sizes.budgets / self.sizes.teams
        return keys * self.slope('team_object_bytes_per_key')

    def servers_object_bytes(self) -> float:
        each = self.slope('servers_object_bytes_per_server')
        return self.sizes.replicas * each

    def config_fetch_bytes_per_s(self) -> float:
        """Return what a daemon fetches when each change is of a team."""
        return self.sizes.changes_per_day / DAY_S * self.team_object_bytes()

    def server_fetch_bytes_per_s(self) -> float:
        changes = self.sizes.replaced_per_day / DAY_S
        return changes * self.servers_object_bytes()

    def progress_us(self) -> float:
        one = self._slopes['router_progress_us']
        return one.at(self.sizes.replicas)

    def progress_share(self) -> float:
        tokens = self.sizes.tokens_per_s / self.sizes.daemons
        return tokens * self.progress_us() / US_PER_S

    def server_list_share(self) -> float:
        lists = SERVER_LISTS_PER_REQUEST * self.requests_per_daemon
        lists += QUEUE_CHECKS_PER_S
        each_us = self.slope('server_list_us') * self.sizes.replicas
        return lists * each_us / US_PER_S

    def choose_share(self) -> float:
        each_us = self.slope('router_choose_prefix_us') * self.candidates
        return each_us * self.requests_per_daemon / US_PER_S

    def queue_share(self) -> float:
        each_us = self.slope('queue_job_us')
        return each_us * self.requests_per_daemon / US_PER_S

    def _sum_over_rows(self, prefix: str) -> float:
        return sum(
            self.slope(prefix + kind) * count
            for kind, count in self.rows.items()
        )


def distinct(boxes: float, draws: float) -> float:
    """Return the expected number of boxes hit by even, random draws."""
    return boxes * -math.expm1(-draws / boxes)
