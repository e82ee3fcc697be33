"""Exchange of loads through one daemon that keeps the aggregator.

A small fleet has one aggregator. In a large one each availability zone has an
aggregator of its own, and the aggregators tell each other their sums: most
prompts are served within their zone, and messages between zones cost more.
"""

import asyncio
import math
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)
from typing import Protocol

import structlog

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.routing.loadaggregator import LoadAggregator
from oriolegauge.routing.partindex import PartHeld
from oriolegauge.routing.serverchooser import (
    MAX_UNREPORTED_PARTS,
    PeerLoad,
    ServerChooser,
)
from oriolegauge.wire.messages import (
    LoadReport,
    LoadTable,
    Message,
    ServerInFlight,
)

# A placement waits no longer for the aggregator: a small part of the shortest
# objective of work with prompts, 400 ms.
AGGREGATOR_TIMEOUT_S = 0.05
# An aggregator that did not answer is left alone for this time.
AGGREGATOR_PAUSE_S = 1.0
# Changes within this time go out together.
REPORT_GAP_S = 0.03
# Reports are repeated before the aggregator forgets them.
REPEAT_S = 1.0
# Aggregators tell each other their sums this often: a prompt that goes to
# another zone has a reason that lasts longer.
SUMS_PERIOD_S = 0.25
# Older tables say less than the heartbeats of a full mesh.
FRESH_S = 0.5

log = structlog.get_logger()


class AggregatorLinks(Protocol):
    """Reach the daemon that keeps the aggregator."""

    def aggregator_host(self) -> str | None:
        """Return the peer that keeps the aggregator, None if it is this one."""

    def other_aggregators(self) -> Collection[str]:
        """Return the peers that keep the aggregators of other zones."""

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; raise an OriolegaugeError."""

    def tell(self, peer: str, message: Message) -> None:
        """Send a message that gets no answer and may be lost."""


class LoadExchange:
    """Report this daemon's loads and learn those of the others."""

    def __init__(
        self,
        *,
        name: str,
        links: AggregatorLinks,
        chooser: ServerChooser,
        clock: Callable[[], float],
    ) -> None:
        """Act for the daemon of that name."""
        self._name = name
        self._links = links
        self._chooser = chooser
        self._clock = clock
        self._aggregator = LoadAggregator()
        # What the daemons of other zones run, by the daemon of their
        # aggregator.
        self._other_zones = LoadAggregator()
        self._changed = asyncio.Event()
        self._last_host: str | None = name
        self._unsent: tuple[PartHeld, ...] = ()
        self._learned_at = -math.inf
        self._failed_at = -math.inf

    @property
    def is_fresh(self) -> bool:
        """State whether the aggregator has answered lately."""
        return self._clock() - self._learned_at < FRESH_S

    def answer(self, daemon: str, report: LoadReport) -> LoadTable | None:
        """Note a peer's report; tell it what the others know if it asks."""
        now = self._clock()
        if report.is_zone_sum:
            self._other_zones.note(
                daemon, in_flight_loads(report.in_flight), now
            )
            return None
        self._aggregator.note(daemon, in_flight_loads(report.in_flight), now)
        self._aggregator.parts.note_all(report.read)
        if not report.is_question:
            return None
        self._aggregator.note(self._name, self._chooser.own_loads(), now)
        self._aggregator.parts.note_all(self._chooser.take_unreported_parts())
        return LoadTable(
            in_flight=in_flight_rows(self._others(daemon, now)),
            read=self._aggregator.parts.holders_of(report.wanted),
        )

    async def refresh(self, parts: Sequence[str] = ()) -> bool:
        """Learn what the other daemons run and where the parts were read.

        Return whether the aggregator has answered.
        """
        if self._clock() - self._failed_at < AGGREGATOR_PAUSE_S:
            return False
        host = self._links.aggregator_host()
        read = self._take_read(host)
        if host is None:
            self._last_host = None
            self._unsent = ()
            self._aggregator.parts.note_all(read)
            self._learn(self._others(self._name, self._clock()))
            self._chooser.parts.note_all(
                self._aggregator.parts.holders_of(parts)
            )
            return True
        return await self._ask(host, read, parts)

    def _take_read(self, host: str | None) -> tuple[PartHeld, ...]:
        """Return what the aggregator there does not know of the parts read."""
        read = (*self._unsent, *self._chooser.take_unreported_parts())
        # An aggregator that has moved knows nothing of what was read before.
        return self._chooser.parts.all() if host != self._last_host else read

    async def _ask(
        self, host: str, read: Sequence[PartHeld], parts: Sequence[str]
    ) -> bool:
        # Sent again with the next report if this call fails or is cancelled.
        self._unsent = tuple(read[-MAX_UNREPORTED_PARTS:])
        report = LoadReport(
            in_flight=in_flight_rows(self._chooser.own_loads()),
            read=tuple(read),
            wanted=tuple(parts),
            is_question=True,
        )
        try:
            table = await self._links.call(host, report, AGGREGATOR_TIMEOUT_S)
        except OriolegaugeError as error:
            self._failed_at = self._clock()
            log.info('load board not reached', peer=host, error=error.message)
            return False
        if not isinstance(table, LoadTable):
            return False
        self._last_host = host
        self._unsent = ()
        self._learn(in_flight_loads(table.in_flight))
        self._chooser.parts.note_all(table.read)
        return True

    def _others(self, daemon: str, now: float) -> Mapping[str, PeerLoad]:
        """Return what all daemons but that one run on each server."""
        found = dict(self._aggregator.other_loads(daemon, now))
        for server, load in self._other_zones.other_loads('', now).items():
            held = found.get(server, PeerLoad())
            found[server] = PeerLoad(
                held.requests + load.requests,
                held.prompt_tokens + load.prompt_tokens,
            )
        return found

    def restarted(self, server: str) -> None:
        """Forget the parts of a server that lost its memory."""
        self._chooser.restarted(server)
        self._aggregator.parts.forget_server(server)

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        self._chooser.keep_only(servers)
        self._aggregator.parts.keep_only(servers)

    def changed(self) -> None:
        """Tell the others soon what this daemon runs."""
        self._changed.set()

    async def run(self) -> None:
        """Report changes until cancelled."""
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
        """Tell the other aggregators what this zone runs, until cancelled."""
        while True:
            await asyncio.sleep(SUMS_PERIOD_S)
            if self._links.aggregator_host() is not None:
                continue
            others = self._links.other_aggregators()
            if not others:
                continue
            now = self._clock()
            self._aggregator.note(self._name, self._chooser.own_loads(), now)
            report = LoadReport(
                in_flight=in_flight_rows(self._aggregator.other_loads('', now)),
                is_zone_sum=True,
            )
            for peer in others:
                self._links.tell(peer, report)

    def _report(self) -> None:
        host = self._links.aggregator_host()
        if host is None:
            return
        report = LoadReport(
            in_flight=in_flight_rows(self._chooser.own_loads()),
            read=self._take_read(host),
        )
        self._unsent = ()
        self._last_host = host
        self._links.tell(host, report)

    def _is_worth_repeating(self) -> bool:
        has_moved = self._links.aggregator_host() != self._last_host
        return bool(self._chooser.own_loads()) or (
            has_moved and not self._chooser.parts.is_empty
        )

    def _learn(self, loads: Mapping[str, PeerLoad]) -> None:
        self._learned_at = self._clock()
        self._chooser.note_peers(loads)


def in_flight_rows(
    loads: Mapping[str, PeerLoad],
) -> tuple[ServerInFlight, ...]:
    """Return loads as they are sent to peers."""
    return tuple(
        ServerInFlight(server, load.requests, load.prompt_tokens)
        for server, load in loads.items()
    )


def in_flight_loads(
    rows: Iterable[ServerInFlight],
) -> Mapping[str, PeerLoad]:
    """Return loads that a peer has sent."""
    return {row.server: PeerLoad(row.requests, row.tokens) for row in rows}
