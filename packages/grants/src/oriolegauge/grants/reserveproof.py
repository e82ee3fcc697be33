"""Upper bound of the time in which a crashed process could open its reserve.

Matters when all daemons crash at once. A new process on the same host starts
after the one before has ended, so the time from the last renewal to its start
bounds what was opened. After a kill the host's boot clock, which counts
suspensions too, measures that time. After a power loss it starts anew and only
the wall clock is left, which may have been set on any host. So a host's bound
is never below the time that a third of the hosts have passed by their wall
clocks, and there is none before two thirds of the hosts have restarted.
"""

from collections.abc import Mapping

from oriolegauge.grants.grantledger import ReserveRow
from oriolegauge.grants.hosttimes import HostTimes

# The wall clock runs at another rate while it is being corrected.
WALL_MARGIN_S = 0.3
# Boot and wall clock of a host measure the same span with at most this
# difference, unless one of them was set.
AGREEMENT_S = 0.3
QUORUM_SHARE = 2 / 3
MIN_QUORUM = 3


def passed_times(
    rows: Mapping[str, ReserveRow],
    starts: Mapping[str, HostTimes],
    known_s: Mapping[str, float],
) -> dict[str, float]:
    """Return the bounds that are known, in seconds after the stamp, by host.

    `rows` are the reserves of all crashed processes and `starts` the clocks at
    the start of the processes that followed them, both by host. `known_s` are
    the seconds passed on the wall clocks of hosts whose rows were resolved.
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
    common_s = _quorum_passed_s(
        sorted((*walls.values(), *known_s.values())), len(rows) + len(known_s)
    )
    for host, (stamp, started) in followed.items():
        if _is_same_boot(stamp, started):
            passed[host] = started.boot_s - stamp.boot_s
        elif common_s is not None:
            passed[host] = max(walls[host], common_s) + WALL_MARGIN_S
    return passed


def _quorum_passed_s(passed: list[float], hosts: int) -> float | None:
    """Return a time that at least a third of the wall clocks have passed.

    Return None unless the clocks of two thirds of the hosts are known.
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
