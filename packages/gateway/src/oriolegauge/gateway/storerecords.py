"""Records in the store of what the fleet has learned."""

from collections.abc import Awaitable, Callable

from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.gateway.crashrecord import CrashRecord
from oriolegauge.gateway.gatewaysettings import GatewaySettings
from oriolegauge.gateway.limitrecord import LimitRecord
from oriolegauge.gateway.versionexchange import VersionExchange
from oriolegauge.gateway.versionrecord import VersionRecord
from oriolegauge.grants import HostClocks
from oriolegauge.objectstore import RestorableStore
from oriolegauge.routing.crashsuspects import CrashSuspects


class StoreRecords:
    """Keep all records up to date, as one of the daemons."""

    def __init__(
        self,
        *,
        store: RestorableStore,
        settings: GatewaySettings,
        is_writer: Callable[[], bool],
        host_clocks: HostClocks,
    ) -> None:
        """Write while `is_writer()` is true, which holds for one daemon."""
        self._store = store
        self._settings = settings
        self._is_writer = is_writer
        self._host_clocks = host_clocks
        self._versions: VersionRecord | None = None

    def jobs(
        self,
        *,
        limits: ServerLimits,
        suspects: CrashSuspects,
        versions: VersionExchange,
    ) -> list[Callable[[], Awaitable[None]]]:
        """Return the jobs that read and write the records."""
        limit_record = LimitRecord(
            store=self._store,
            kind=self._settings.limits_kind,
            limits=limits,
            is_writer=self._is_writer,
        )
        crash_record = CrashRecord(
            store=self._store,
            kind=self._settings.crashes_kind,
            suspects=suspects,
            is_writer=self._is_writer,
            wall_clock=self._wall_s,
        )
        self._versions = VersionRecord(
            store=self._store,
            kind=self._settings.streams_kind,
            versions=versions,
            is_writer=self._is_writer,
            clock=lambda: self._host_clocks.now().boot_s,
            wall_clock=self._wall_s,
        )
        return [limit_record.run, crash_record.run, self._versions.run]

    def announce_versions(self) -> None:
        """Write the record of versions soon."""
        if self._versions:
            self._versions.announce_change()

    def _wall_s(self) -> float:
        return self._host_clocks.now().wall_s
