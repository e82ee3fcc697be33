"""Loads of backend servers, summed up from the reports of all daemons.

Matters when many daemons place long prompts at the same moment: each placement
must know the ones before it, and heartbeats would tell it too late.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from oriolegauge.routing.partindex import PartIndex
from oriolegauge.routing.peerload import PeerLoad

# A daemon with running requests reports once a second. Without a report for
# this time it has crashed, which ended its requests.
REPORT_EXPIRY_S = 2.5


@dataclass(frozen=True, slots=True)
class _Report:
    loads: Mapping[str, PeerLoad]
    noted_at: float


@dataclass(slots=True)
class _Sum:
    reports: int = 0
    requests: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0
    slowness_sum: float = 0
    samples: float = 0
    whole: PeerLoad | None = None

    def add(self, load: PeerLoad) -> None:
        self.whole = None
        self.reports += 1
        self.requests += load.requests
        self.prompt_tokens += load.prompt_tokens
        self.held_tokens += load.held_tokens
        self.slowness_sum += load.slowness_sum
        self.samples += load.samples

    def take_away(self, load: PeerLoad) -> None:
        self.whole = None
        self.reports -= 1
        self.requests -= load.requests
        self.prompt_tokens -= load.prompt_tokens
        self.held_tokens -= load.held_tokens
        self.slowness_sum -= load.slowness_sum
        self.samples -= load.samples

    def without(self, own: PeerLoad) -> PeerLoad:
        return PeerLoad(
            self.requests - own.requests,
            self.prompt_tokens - own.prompt_tokens,
            self.held_tokens - own.held_tokens,
            # Differences of rounded sums may be a little below 0.
            max(0, self.slowness_sum - own.slowness_sum),
            max(0, self.samples - own.samples),
        )


_NO_LOAD = PeerLoad()


class LoadAggregator:
    """Keep the last report of each daemon and the index of prompt parts."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        # Sums by server, updated with each report: a large fleet sends and
        # queries hundreds of reports a second.
        self._sums: dict[str, _Sum] = {}
        self.parts = PartIndex()

    def note(
        self, daemon: str, loads: Mapping[str, PeerLoad], now: float
    ) -> None:
        """Replace a daemon's report."""
        self._drop(daemon)
        self._reports[daemon] = _Report(loads, now)
        for server, load in loads.items():
            total = self._sums.get(server)
            if total is None:
                total = self._sums[server] = _Sum()
            total.add(load)

    def other_loads(self, daemon: str, now: float) -> Mapping[str, PeerLoad]:
        """Return the load of each server without that of one daemon."""
        self._forget(now)
        found = self._reports.get(daemon)
        own = found.loads if found else {}
        loads = {}
        for server, total in self._sums.items():
            if server in own:
                left = total.without(own[server])
            elif total.whole:
                left = total.whole
            else:
                left = total.whole = total.without(_NO_LOAD)
            if left.requests > 0:
                loads[server] = left
        return loads

    def _drop(self, daemon: str) -> None:
        found = self._reports.pop(daemon, None)
        if found is None:
            return
        for server, load in found.loads.items():
            total = self._sums[server]
            total.take_away(load)
            if not total.reports:
                del self._sums[server]

    def _forget(self, now: float) -> None:
        # Reports are ordered by time, as a new one is put at the end.
        for name, report in list(self._reports.items()):
            if now - report.noted_at <= REPORT_EXPIRY_S:
                return
            self._drop(name)
