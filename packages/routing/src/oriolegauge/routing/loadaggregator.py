"""Loads of backend servers, summed up from the reports of all daemons.

Matters when many daemons place long prompts at the same moment: each placement
must know the ones before it, and heartbeats would tell it too late.
"""

from collections import Counter
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


_NO_LOAD = PeerLoad()


class LoadAggregator:
    """Keep the last report of each daemon and the index of prompt parts."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        # Sums by server, updated with each report: a large fleet sends and
        # queries hundreds of reports a second.
        self._requests: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()
        self.parts = PartIndex()

    def note(
        self, daemon: str, loads: Mapping[str, PeerLoad], now: float
    ) -> None:
        """Replace a daemon's report."""
        self._drop(daemon)
        self._reports[daemon] = _Report(loads, now)
        for server, load in loads.items():
            self._requests[server] += load.requests
            self._tokens[server] += load.prompt_tokens

    def other_loads(self, daemon: str, now: float) -> Mapping[str, PeerLoad]:
        """Return the load of each server without that of one daemon."""
        self._forget(now)
        found = self._reports.get(daemon)
        own = found.loads if found else {}
        return {
            server: PeerLoad(
                count - own.get(server, _NO_LOAD).requests,
                self._tokens[server] - own.get(server, _NO_LOAD).prompt_tokens,
            )
            for server, count in self._requests.items()
            if count > own.get(server, _NO_LOAD).requests
        }

    def _drop(self, daemon: str) -> None:
        found = self._reports.pop(daemon, None)
        if found is None:
            return
        for server, load in found.loads.items():
            self._requests[server] -= load.requests
            self._tokens[server] -= load.prompt_tokens
            if not self._requests[server]:
                del self._requests[server], self._tokens[server]

    def _forget(self, now: float) -> None:
        # Reports are ordered by time, as a new one is put at the end.
        for name, report in list(self._reports.items()):
            if now - report.noted_at <= REPORT_EXPIRY_S:
                return
            self._drop(name)
