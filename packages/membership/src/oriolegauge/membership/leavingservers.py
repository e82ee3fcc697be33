"""Backend servers that are leaving, according to several sources.

A leaving server must get no new work, although some sources report it late.
"""

from dataclasses import dataclass, field
from enum import StrEnum

MIN_SOURCES_TO_RETURN = 2


class LeavingSource(StrEnum):
    """Source of a signal that a backend server leaves or stays."""

    CONFIGURATION = 'configuration'
    HOST_LIST = 'host_list'
    LOAD_REPORT = 'load_report'
    CONNECTION = 'connection'


@dataclass(slots=True)
class _Signals:
    leaving: bool = False
    since: float = 0
    reporting_leaving: set[LeavingSource] = field(default_factory=set)
    reporting_staying: set[LeavingSource] = field(default_factory=set)
    config_version: int = 0


class LeavingServers:
    """Combine the signals of all sources.

    One signal is enough to mark a server as leaving. The mark is removed by a
    change of the configuration, or if two sources report after the last leaving
    signal that the server stays and none still reports it as leaving. A single
    report may be stale and must not override a newer one.
    """

    def __init__(self) -> None:
        """Start with no server leaving."""
        self._signals: dict[str, _Signals] = {}

    def note_signal(
        self, server: str, source: LeavingSource, *, leaving: bool, now: float
    ) -> None:
        """Note that a source reports the server as leaving or staying."""
        signals = self._signals.setdefault(server, _Signals())
        if leaving:
            signals.reporting_leaving.add(source)
            signals.reporting_staying.clear()
            _leave(signals, now)
            return
        signals.reporting_leaving.discard(source)
        signals.reporting_staying.add(source)
        if (
            not signals.reporting_leaving
            and len(signals.reporting_staying) >= MIN_SOURCES_TO_RETURN
        ):
            signals.leaving = False

    def configure(
        self, server: str, *, leaving: bool, version: int, now: float
    ) -> None:
        """Note what the configuration says; ignore versions not newer."""
        signals = self._signals.setdefault(server, _Signals())
        if version <= signals.config_version:
            return
        signals.config_version = version
        if leaving:
            signals.reporting_leaving.add(LeavingSource.CONFIGURATION)
            signals.reporting_staying.clear()
            _leave(signals, now)
            return
        was_leaving = LeavingSource.CONFIGURATION in signals.reporting_leaving
        if was_leaving:
            signals.reporting_leaving.clear()
            signals.reporting_staying.clear()
            signals.leaving = False

    def forget(self, server: str) -> None:
        """Drop a server that is no longer configured."""
        self._signals.pop(server, None)

    def is_leaving(self, server: str) -> bool:
        """State whether the server is leaving and may get no new work."""
        signals = self._signals.get(server)
        return signals is not None and signals.leaving

    def leaving_since(self, server: str) -> float | None:
        """Return the time of the first leaving signal, or None."""
        signals = self._signals.get(server)
        return signals.since if signals and signals.leaving else None

    def leaving(self) -> frozenset[str]:
        """Return the names of the leaving servers."""
        return frozenset(
            server
            for server, signals in self._signals.items()
            if signals.leaving
        )


def _leave(signals: _Signals, now: float) -> None:
    if not signals.leaving:
        signals.leaving = True
        signals.since = now
