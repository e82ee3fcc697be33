"""Loads of backend servers, put together from the reports of all daemons.

Answers the load of long prompts that many daemons place at the same moment:
each placement sees those before it, which heartbeats would tell too late.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from oriolegauge.routing.partindex import PartIndex
from oriolegauge.routing.serverchooser import PeerLoad

# A daemon with running requests reports once a second; one that has been
# silent for longer has died, and its requests with it.
REPORT_EXPIRY_S = 2.5


@dataclass(frozen=True, slots=True)
class _Report:
    loads: Mapping[str, PeerLoad]
    noted_at: float


_NOTHING = PeerLoad()


class LoadAggregator:
    """Keep the last report of each daemon, and all parts that were read."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        # Kept up to date, since a large fleet reports hundreds of times a
        # second and asks as often.
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
        """Return the sums of what the other daemons run on each server."""
        self._forget(now)
        found = self._reports.get(daemon)
        own = found.loads if found else {}
        return {
            server: PeerLoad(
                count - own.get(server, _NOTHING).requests,
                self._tokens[server] - own.get(server, _NOTHING).prompt_tokens,
            )
            for server, count in self._requests.items()
            if count > own.get(server, _NOTHING).requests
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
        # Reports are in order of their times, as each replaces the one before.
        for name, report in list(self._reports.items()):
            if now - report.noted_at <= REPORT_EXPIRY_S:
                return
            self._drop(name)
