"""Backend servers that leave, by any source that says so."""

from dataclasses import dataclass, field
from enum import StrEnum

RETURN_SOURCES = 2


class LeavingSource(StrEnum):
    """Source of a sign that a backend server leaves or stays."""

    CONFIGURATION = 'configuration'
    HOST_LIST = 'host_list'
    LOAD_REPORT = 'load_report'
    CONNECTION = 'connection'


@dataclass(slots=True)
class _Signs:
    leaving: bool = False
    since: float = 0
    says_leaving: set[LeavingSource] = field(default_factory=set)
    says_staying: set[LeavingSource] = field(default_factory=set)
    config_version: int = 0


class LeavingServers:
    """Join the signs of all sources.

    One sign is enough to leave. To return, a server needs a change of the
    configuration, or two sources that say so after the last sign of leaving
    while none still says that it leaves: single reports come late, and a late
    one must not undo a fresh one.
    """

    def __init__(self) -> None:
        """Start with no server leaving."""
        self._signs: dict[str, _Signs] = {}

    def note_signal(
        self, server: str, source: LeavingSource, *, leaving: bool, now: float
    ) -> None:
        """Note what a source says of the server."""
        signs = self._signs.setdefault(server, _Signs())
        if leaving:
            signs.says_leaving.add(source)
            signs.says_staying.clear()
            _leave(signs, now)
            return
        signs.says_leaving.discard(source)
        signs.says_staying.add(source)
        if not signs.says_leaving and len(signs.says_staying) >= RETURN_SOURCES:
            signs.leaving = False

    def configure(
        self, server: str, *, leaving: bool, version: int, now: float
    ) -> None:
        """Note the configuration of the server; old versions are ignored."""
        signs = self._signs.setdefault(server, _Signs())
        if version <= signs.config_version:
            return
        signs.config_version = version
        if leaving:
            signs.says_leaving.add(LeavingSource.CONFIGURATION)
            signs.says_staying.clear()
            _leave(signs, now)
            return
        was_leaving = LeavingSource.CONFIGURATION in signs.says_leaving
        if was_leaving:
            signs.says_leaving.clear()
            signs.says_staying.clear()
            signs.leaving = False

    def forget(self, server: str) -> None:
        """Drop a server that is no longer configured."""
        self._signs.pop(server, None)

    def is_leaving(self, server: str) -> bool:
        """State whether the server may get no new work."""
        signs = self._signs.get(server)
        return signs is not None and signs.leaving

    def leaving_since(self, server: str) -> float | None:
        """Return when the first sign of leaving came, or None."""
        signs = self._signs.get(server)
        return signs.since if signs and signs.leaving else None

    def leaving(self) -> frozenset[str]:
        """Return the names of the servers that leave."""
        return frozenset(
            server for server, signs in self._signs.items() if signs.leaving
        )


def _leave(signs: _Signs, now: float) -> None:
    if not signs.leaving:
        signs.leaving = True
        signs.since = now
