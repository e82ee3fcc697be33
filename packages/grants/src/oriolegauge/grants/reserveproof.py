"""For how long a process that died may have opened its reserve.

Answers the death of all daemons at once. A new process on the same host began
after the one before had ended, so the time from the last renewal to its start
bounds what was opened. After a kill the host's clock that counts freezes tells
that time. After a loss of power it starts anew, and only the time of day is
left, which may be set on any host: what two thirds of the hosts have to have
passed counts for each of them.
"""

from collections.abc import Mapping

from oriolegauge.grants.grantledger import ReserveRow
from oriolegauge.grants.hosttimes import HostTimes

# The time of day runs at another rate while it is being corrected.
WALL_MARGIN_S = 0.3
# Clocks of one host agree this well on a span unless one of them was set.
AGREEMENT_S = 0.3
QUORUM_SHARE = 2 / 3
MIN_QUORUM = 3


def passed_times(
    rows: Mapping[str, ReserveRow],
    starts: Mapping[str, HostTimes],
    known_s: Mapping[str, float],
) -> dict[str, float]:
    """Return the most time passed since the stamp, by host, if it is known.

    `rows` are the reserves of all processes that have died, by host, and
    `starts` the clocks of hosts at the start of the processes that followed.
    `known_s` are the times of day passed on hosts whose rows are gone already.
    """
    followed = {
        host: (rows[host].stamp, started)
        for host, started in starts.items()
        if host in rows
    }
    walls = {
        host: started.wall_s - stamp.wall_s
        for host, (stamp, started) in followed.items()
    }
    passed = {}
    common_s = _common_s(
        sorted((*walls.values(), *known_s.values())), len(rows) + len(known_s)
    )
    for host, (stamp, started) in followed.items():
        if _is_same_boot(stamp, started):
            passed[host] = started.boot_s - stamp.boot_s
        elif common_s is not None:
            passed[host] = max(walls[host], common_s) + WALL_MARGIN_S
    return passed


def _common_s(passed: list[float], hosts: int) -> float | None:
    """Return a time that a third of the clocks, at least, have passed.

    Only if two thirds of the hosts can tell.
    """
    if len(passed) < max(MIN_QUORUM, QUORUM_SHARE * hosts):
        return None
    return passed[int(QUORUM_SHARE * len(passed))]


def _is_same_boot(stamp: HostTimes, started: HostTimes) -> bool:
    boot_passed_s = started.boot_s - stamp.boot_s
    wall_passed_s = started.wall_s - stamp.wall_s
    return (
        bool(stamp.boot_id)
        and started.boot_id == stamp.boot_id
        and boot_passed_s >= 0
        and abs(boot_passed_s - wall_passed_s) <= AGREEMENT_S
    )
