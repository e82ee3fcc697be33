"""Exchange of server loads between daemons through an aggregator.

Matters when many daemons place long prompts at the same time. A small fleet has
one aggregator. In a large one each availability zone has its own, and they send
each other sums: most prompts are served within their zone, and messages between
zones cost more.
"""

import asyncio
import math
from collections.abc import (
    Callable,
    Collection,
    Mapping,
    Sequence,
)
from typing import Protocol

import structlog

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.routing.loadaggregator import LoadAggregator
from oriolegauge.routing.partindex import PartHeld
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import (
    MAX_UNREPORTED_PARTS,
    ServerChooser,
)
from oriolegauge.routing.work import PromptPart
from oriolegauge.wire.messages import (
    LoadReport,
    LoadTable,
    Message,
    ServerInFlight,
    ServerLoadDetail,
)

# Limits how long a placement waits for the aggregator: a small part of 400 ms,
# the shortest latency objective of requests with prompts.
AGGREGATOR_TIMEOUT_S = 0.05
# An aggregator that did not answer is not called for this time.
AGGREGATOR_PAUSE_S = 1.0
# Changes within this time are reported together.
REPORT_GAP_S = 0.03
# A table this recent is used for the next prompts too: the aggregator hears of
# changes no sooner, and this daemon counts its own placements at once.
TABLE_REUSE_S = REPORT_GAP_S
# On a small link a table is used for longer, so that tables take this share of
# it: a busy daemon placed 80 prompts a second, and the tables took a quarter of
# its link of 5 Mbit/s.
TABLES_LINK_SHARE = 0.03
# Size of a table of a hundred servers.
TABLE_BITS = 2_500 * 8
BITS_PER_MBIT = 1_000_000
# Time after which the aggregator is asked again which servers have cached a
# prompt part.
PART_REUSE_S = 1.0
MAX_ASKED_PARTS = 1_000
# Parts of so few tokens are not worth a call: an engine reads them in some
# milliseconds.
FEW_TOKENS = 500
# Below the time after which the aggregator drops a report.
REPEAT_S = 1.0
# Period of the sums between aggregators. The reasons to send a prompt to
# another zone last longer than this.
SUMS_PERIOD_S = 0.25
# Heartbeats of a full mesh are more accurate than tables older than this.
FRESH_S = 0.5
# Units of the details of loads.
PAGE_TOKENS = 256
TENTHS = 10
# The largest number of a message's 32-bit field.
MAX_DETAIL = 2**32 - 1

log = structlog.get_logger()


class AggregatorLinks(Protocol):
    """Calls to the daemons that have a load aggregator."""

    def aggregator_host(self) -> str | None:
        """Return the peer with the aggregator, None if it is this daemon."""

    def other_aggregators(self) -> Collection[str]:
        """Return the peers with the aggregators of other zones."""

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; raise an OriolegaugeError."""

    def send_one_way(self, peer: str, message: Message) -> None:
        """Send a message without reply or guarantee of delivery."""


class LoadExchange:
    """Report this daemon's loads and get those of the others."""

    def __init__(
        self,
        *,
        name: str,
        links: AggregatorLinks,
        chooser: ServerChooser,
        clock: Callable[[], float],
    ) -> None:
        """Act for the daemon `name`."""
        self._table_reuse_s = TABLE_REUSE_S
        self._name = name
        self._links = links
        self._chooser = chooser
        self._clock = clock
        self._aggregator = LoadAggregator()
        # Sums of other zones, by the daemon with the zone's aggregator.
        self._other_zones = LoadAggregator()
        self._changed = asyncio.Event()
        self._last_aggregator: str | None = name
        self._unsent: tuple[PartHeld, ...] = ()
        self._learned_at = -math.inf
        self._failed_at = -math.inf
        # Times at which the aggregator was last asked for prompt parts.
        self._asked_at: dict[str, float] = {}

    @property
    def is_fresh(self) -> bool:
        """State whether the aggregator answered within FRESH_S."""
        return self._clock() - self._learned_at < FRESH_S

    def adapt_to_link(self, link_mbps: float) -> None:
        """Limit the share of the host's link that load tables take."""
        usable_bits_per_s = link_mbps * BITS_PER_MBIT * TABLES_LINK_SHARE
        self._table_reuse_s = max(TABLE_REUSE_S, TABLE_BITS / usable_bits_per_s)

    def answer(self, daemon: str, report: LoadReport) -> LoadTable | None:
        """Note a peer's report; return the others' loads on request."""
        now = self._clock()
        reported = in_flight_loads(report.in_flight, report.load_details)
        if report.is_zone_sum:
            self._other_zones.note(daemon, reported, now)
            return None
        self._aggregator.note(daemon, reported, now)
        self._aggregator.parts.note_all(report.read)
        if not report.is_question:
            return None
        self._aggregator.note(self._name, self._chooser.own_loads(now), now)
        self._aggregator.parts.note_all(self._chooser.take_unreported_parts())
        loads: Mapping[str, PeerLoad] = {}
        if not report.wants_parts_only:
            loads = self._loads_of_others(daemon, now)
        return LoadTable(
            in_flight=in_flight_rows(loads),
            read=self._aggregator.parts.holders_of(report.wanted),
            load_details=detail_rows(loads),
        )

    async def refresh(self, parts: Sequence[PromptPart] = ()) -> bool:
        """Get the loads of the others, and which servers read the prompt parts.

        Return whether the aggregator answered.
        """
        if self._clock() - self._failed_at < AGGREGATOR_PAUSE_S:
            return False
        host = self._links.aggregator_host()
        has_recent_table = host is not None and self._is_table_recent(host)
        if has_recent_table and self._unknown_tokens(parts) <= FEW_TOKENS:
            return True
        read = self._parts_to_report(host)
        if host is None:
            self._last_aggregator = None
            self._unsent = ()
            self._aggregator.parts.note_all(read)
            self._apply_loads(self._loads_of_others(self._name, self._clock()))
            self._chooser.parts.note_all(
                self._aggregator.parts.holders_of(_names(parts))
            )
            return True
        return await self._query_aggregator(
            host, read, _names(parts), wants_parts_only=has_recent_table
        )

    def _is_table_recent(self, host: str) -> bool:
        return (
            host == self._last_aggregator
            and self._clock() - self._learned_at < self._table_reuse_s
        )

    def _unknown_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the parts that were not asked for recently."""
        now = self._clock()
        return sum(
            part.tokens
            for part in parts
            if now - self._asked_at.get(part.name, -math.inf) >= PART_REUSE_S
        )

    def _note_asked(self, parts: Sequence[str]) -> None:
        now = self._clock()
        for part in parts:
            self._asked_at[part] = now
        if len(self._asked_at) > MAX_ASKED_PARTS:
            self._asked_at = {
                part: asked_at
                for part, asked_at in self._asked_at.items()
                if now - asked_at < PART_REUSE_S
            }

    def _parts_to_report(self, host: str | None) -> tuple[PartHeld, ...]:
        """Return prompt parts read that the aggregator doesn't know yet."""
        read = (*self._unsent, *self._chooser.take_unreported_parts())
        # A new aggregator gets all parts, also those reported before.
        return (
            self._chooser.parts.all() if host != self._last_aggregator else read
        )

    async def _query_aggregator(
        self,
        host: str,
        read: Sequence[PartHeld],
        parts: Sequence[str],
        *,
        wants_parts_only: bool,
    ) -> bool:
        # Repeated with the next report if this call fails or is cancelled.
        self._unsent = tuple(read[-MAX_UNREPORTED_PARTS:])
        loads = self._chooser.own_loads(self._clock())
        report = LoadReport(
            in_flight=in_flight_rows(loads),
            read=tuple(read),
            wanted=tuple(parts),
            is_question=True,
            load_details=detail_rows(loads),
            wants_parts_only=wants_parts_only,
        )
        try:
            table = await self._links.call(host, report, AGGREGATOR_TIMEOUT_S)
        except OriolegaugeError as error:
            self._failed_at = self._clock()
            log.info('load board not reached', peer=host, error=error.message)
            return False
        if not isinstance(table, LoadTable):
            return False
        self._last_aggregator = host
        self._unsent = ()
        if not wants_parts_only:
            self._apply_loads(
                in_flight_loads(table.in_flight, table.load_details)
            )
        self._chooser.parts.note_all(table.read)
        self._note_asked(parts)
        return True

    def _loads_of_others(
        self, daemon: str, now: float
    ) -> Mapping[str, PeerLoad]:
        """Return the load of each server by all daemons but `daemon`."""
        found = dict(self._aggregator.other_loads(daemon, now))
        for server, load in self._other_zones.other_loads('', now).items():
            held = found.get(server)
            found[server] = held.plus(load) if held else load
        return found

    def restarted(self, server: str) -> None:
        """Forget the prompt parts that a restarted server had cached."""
        self._chooser.restarted(server)
        self._aggregator.parts.forget_server(server)

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        self._chooser.keep_only(servers)
        self._aggregator.parts.keep_only(servers)

    def changed(self) -> None:
        """Report this daemon's loads soon."""
        self._changed.set()

    async def run(self) -> None:
        """Report changed loads until cancelled."""
        while True:
            try:
                async with asyncio.timeout(REPEAT_S):
                    await self._changed.wait()
            except TimeoutError:
                if not self._is_worth_repeating():
                    continue
            self._changed.clear()
            self._report()
            await asyncio.sleep(REPORT_GAP_S)

    async def run_sums(self) -> None:
        """Send this zone's loads to the other aggregators until cancelled."""
        while True:
            await asyncio.sleep(SUMS_PERIOD_S)
            if self._links.aggregator_host() is not None:
                continue
            others = self._links.other_aggregators()
            if not others:
                continue
            now = self._clock()
            self._aggregator.note(self._name, self._chooser.own_loads(now), now)
            loads = self._aggregator.other_loads('', now)
            report = LoadReport(
                in_flight=in_flight_rows(loads),
                is_zone_sum=True,
                load_details=detail_rows(loads),
            )
            for peer in others:
                self._links.send_one_way(peer, report)

    def _report(self) -> None:
        host = self._links.aggregator_host()
        if host is None:
            return
        loads = self._chooser.own_loads(self._clock())
        report = LoadReport(
            in_flight=in_flight_rows(loads),
            read=self._parts_to_report(host),
            load_details=detail_rows(loads),
        )
        self._unsent = ()
        self._last_aggregator = host
        self._links.send_one_way(host, report)

    def _is_worth_repeating(self) -> bool:
        has_moved = self._links.aggregator_host() != self._last_aggregator
        return bool(self._chooser.own_loads()) or (
            has_moved and not self._chooser.parts.is_empty
        )

    def _apply_loads(self, loads: Mapping[str, PeerLoad]) -> None:
        self._learned_at = self._clock()
        self._chooser.note_peers(loads)


def _names(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    return tuple(part.name for part in parts)


def in_flight_rows(
    loads: Mapping[str, PeerLoad],
) -> tuple[ServerInFlight, ...]:
    """Convert loads to rows of a message."""
    return tuple(
        ServerInFlight(server, load.requests, load.prompt_tokens)
        for server, load in loads.items()
    )


def detail_rows(
    loads: Mapping[str, PeerLoad],
) -> tuple[ServerLoadDetail, ...]:
    """Convert what loads tell beside the requests, if any has it."""
    if not any(load.held_tokens for load in loads.values()):
        return ()
    return tuple(
        ServerLoadDetail(
            _bounded(load.held_tokens / PAGE_TOKENS),
            _bounded(load.slowness_sum * TENTHS),
            _bounded(load.samples * TENTHS),
        )
        for load in loads.values()
    )


def in_flight_loads(
    rows: Sequence[ServerInFlight], details: Sequence[ServerLoadDetail] = ()
) -> Mapping[str, PeerLoad]:
    """Convert rows of a message to loads.

    Daemons of earlier versions send no details.
    """
    if len(details) != len(rows):
        return {row.server: PeerLoad(row.requests, row.tokens) for row in rows}
    return {
        row.server: PeerLoad(
            row.requests,
            row.tokens,
            detail.held_pages * PAGE_TOKENS,
            detail.slowness_tenths / TENTHS,
            detail.sample_tenths / TENTHS,
        )
        for row, detail in zip(rows, details, strict=True)
    }


def _bounded(number: float) -> int:
    return min(MAX_DETAIL, max(0, round(number)))
