"""Conversion of the rows of heartbeats that tell of servers and services."""

import math
from collections.abc import Iterable, Iterator

from oriolegauge.forwarding.leavinginstances import (
    LeavingInstance,
    LeavingInstances,
    ServerInstance,
)
from oriolegauge.forwarding.serverlimits import ReportedLimit, ServerLimits
from oriolegauge.routing.brittleservices import (
    BrittleServices,
    ReportedService,
)
from oriolegauge.wire.messages import (
    NOT_BRITTLE,
    UNLIMITED_PER_S,
    BrittleService,
    LeavingServer,
    ServerLimit,
)

_MS_PER_S = 1000


def departure_rows(leaving: LeavingInstances) -> tuple[LeavingServer, ...]:
    """Return the servers that leave."""
    return tuple(
        LeavingServer(
            reported.server_instance.instance,
            reported.server_instance.started_ms,
            int(reported.age_s * _MS_PER_S),
        )
        for reported in leaving.all()
    )


def reported_departures(
    rows: Iterable[LeavingServer],
) -> list[LeavingInstance]:
    """Return the servers of which a peer says that they leave."""
    return [
        LeavingInstance(
            ServerInstance(row.server, row.started_ms), row.age_ms / _MS_PER_S
        )
        for row in rows
    ]


def limit_rows(limits: ServerLimits) -> tuple[ServerLimit, ...]:
    """Return the rates that servers have named."""
    return tuple(
        ServerLimit(
            limit.server_instance.instance,
            limit.server_instance.started_ms,
            UNLIMITED_PER_S if limit.per_s is None else limit.per_s,
            int(limit.age_s * _MS_PER_S),
        )
        for limit in limits.all()
    )


def reported_limits(rows: Iterable[ServerLimit]) -> Iterator[ReportedLimit]:
    """Yield the rates that a peer reports; skip invalid ones."""
    for row in rows:
        is_unlimited = row.per_s == UNLIMITED_PER_S
        if is_unlimited or (row.per_s >= 0 and math.isfinite(row.per_s)):
            yield ReportedLimit(
                ServerInstance(row.server, row.started_ms),
                None if is_unlimited else row.per_s,
                max(0, row.age_ms) / _MS_PER_S,
            )


def service_rows(
    brittle: BrittleServices | None,
) -> tuple[BrittleService, ...]:
    """Return the services whose servers are brittle."""
    reported = brittle.all() if brittle else ()
    return tuple(
        BrittleService(
            report.service,
            NOT_BRITTLE if report.bears is None else report.bears,
            int(report.age_s * _MS_PER_S),
        )
        for report in reported
    )


def reported_services(
    rows: Iterable[BrittleService],
) -> Iterator[ReportedService]:
    """Yield the brittle services that a peer reports; skip invalid ones."""
    for row in rows:
        is_over = row.per_s == NOT_BRITTLE
        if is_over or (row.per_s >= 0 and math.isfinite(row.per_s)):
            yield ReportedService(
                row.service,
                None if is_over else row.per_s,
                max(0, row.age_ms) / _MS_PER_S,
            )
