"""Isolation and quarantine of requests that crash backend servers.

A request that was running at one crash is a suspect and runs apart from other
suspects; one that was running at two crashes is refused for a time.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from oriolegauge.core import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode

# A suspect runs isolated for at most this long after its crash.
SUSPECT_S = 600.0
# Two crashes within this time quarantine a fingerprint. Reports expire after
# it, so it also bounds how long a harmless fingerprint stays quarantined.
CRASH_MEMORY_S = 3600.0
# Reports of two daemons within this time are taken for one crash: one notices
# it by a reset connection, another by a timeout.
SAME_CRASH_S = 5.0
# A crash is explained if a quarantined fingerprint was running at it. Its other
# suspects stay isolated until a second crash of the server can't be taken for
# the first, and as long again for late reports.
EXPLAINED_HOLD_S = 2 * SAME_CRASH_S
# One member places all suspects: with an owner per fingerprint, two owners
# whose load reports lag could send suspects to one server.
SUSPECT_OWNER_KEY = 'crash-suspects'
REPORTS_MAX = 1_000
FINGERPRINTS_MAX = 50_000


class QuarantinedError(OriolegaugeError):
    """Refuse a request that was running at two crashes."""

    code = ResultCode.QUARANTINED


@dataclass(frozen=True, slots=True)
class CrashReport:
    """List the requests of one daemon on a server when it crashed.

    `origin` and `number` identify the report. `repeats` ran isolated when the
    server crashed; `cleared` have since succeeded. `age_s` is the time since
    the crash when the report was made or sent again.
    """

    origin: str
    number: int
    server: str
    fingerprints: frozenset[str]
    repeats: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    age_s: float = 0


@dataclass(frozen=True, slots=True)
class Free:
    """Allow the request on any server."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """Allow the suspect on this server."""


@dataclass(frozen=True, slots=True)
class ServerOccupied:
    """Keep the suspect off this server now.

    The suspect runs already, or another one runs on the server.
    """


@dataclass(frozen=True, slots=True)
class OwnerOnly:
    """Leave the suspect to the member that places all suspects."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Refuse the request for `retry_after_s` seconds."""

    retry_after_s: float


Verdict = Free | Isolated | ServerOccupied | OwnerOnly | Quarantined


@dataclass(slots=True)
class _Crash:
    report: CrashReport
    at: float
    cleared: set[str] = field(default_factory=set)

    @property
    def uncleared(self) -> frozenset[str]:
        return self.report.fingerprints - self.cleared

    def is_same(self, other: '_Crash') -> bool:
        """Return whether both reports may describe one crash."""
        mine, theirs = self.report, other.report
        return (
            mine.server == theirs.server
            and mine.origin != theirs.origin
            and abs(self.at - other.at) <= SAME_CRASH_S
        )


class CrashQuarantine:
    """Derive suspects and quarantine from the crash reports of all daemons.

    The verdicts depend only on the set of reports, so peers agree once they
    hold the same reports, in whatever order and however often these arrived.
    """

    def __init__(self, *, origin: str) -> None:
        """Report as `origin`, a name that is unique to this process start."""
        self._origin = origin
        self._last_number = 0
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._quarantined: dict[str, float] = {}
        self._suspects: frozenset[str] = frozenset()
        self._valid_until: float = 0

    def crashed(
        self,
        server: str,
        fingerprints: Iterable[str],
        now: float,
        *,
        isolated: Iterable[str] = (),
    ) -> CrashReport:
        """Record a crash; return the report to send to the peers.

        `fingerprints` were in flight there. Those that were admitted as
        Isolated are listed in `isolated`: for them this is a second crash, even
        if the same server crashed a moment ago.
        """
        self._last_number += 1
        in_flight = frozenset(fingerprints)
        report = CrashReport(
            self._origin,
            self._last_number,
            server,
            in_flight,
            repeats=in_flight & frozenset(isolated),
        )
        self.merge(report, now)
        return report

    def merge(self, report: CrashReport, now: float) -> bool:
        """Add a report of a peer; return whether it had new information."""
        if not report.fingerprints or report.age_s >= CRASH_MEMORY_S:
            return False
        key = (report.origin, report.number)
        at = now - report.age_s
        crash = self._crashes.get(key)
        is_new = crash is None
        if crash is None:
            crash = _Crash(report, at)
            self._crashes[key] = crash
        is_new = is_new or not report.cleared <= crash.cleared
        crash.at = min(crash.at, at)
        crash.cleared |= report.cleared
        self._enforce_limits()
        self._valid_until = now
        return is_new

    def succeeded(
        self, fingerprint: str, now: float
    ) -> tuple[CrashReport, ...]:
        """Clear a suspect that succeeded; return the reports to send again."""
        self._refresh(now)
        if fingerprint in self._quarantined:
            return ()
        changed = [
            crash
            for crash in self._crashes.values()
            if fingerprint in crash.uncleared
        ]
        for crash in changed:
            crash.cleared.add(fingerprint)
            self._valid_until = now
        return tuple(_to_report(crash, now) for crash in changed)

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return all current reports, for a peer after a partition."""
        self._refresh(now)
        return tuple(_to_report(crash, now) for crash in self._crashes.values())

    def admit(
        self,
        fingerprint: str,
        server: str,
        now: float,
        *,
        running: Mapping[str, Collection[str]],
        is_owner: bool = True,
    ) -> Verdict:
        """Decide whether the request may run on the server now.

        `running` maps servers to the fingerprints that run there, of this
        daemon and its peers. `is_owner` states whether this daemon ranks first
        for SUSPECT_OWNER_KEY among the members that are not known to be dead.
        """
        self._refresh(now)
        until = self._quarantined.get(fingerprint)
        if until is not None:
            return Quarantined(until - now)
        if fingerprint not in self._suspects:
            return Free()
        # In a partition, only the owner's side goes on running suspects, so
        # the other sides lose at most one server to a request.
        if not is_owner:
            return OwnerOnly()
        if any(fingerprint in there for there in running.values()):
            return ServerOccupied()
        if any(self._is_restricted(other) for other in running.get(server, ())):
            return ServerOccupied()
        return Isolated()

    def suspects(self, now: float) -> frozenset[str]:
        """Return the fingerprints that must run isolated."""
        self._refresh(now)
        return self._suspects

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the fingerprints that are refused."""
        self._refresh(now)
        return frozenset(self._quarantined)

    def _is_restricted(self, fingerprint: str) -> bool:
        return fingerprint in self._suspects or fingerprint in self._quarantined

    def _enforce_limits(self) -> None:
        held = sum(
            len(crash.report.fingerprints) for crash in self._crashes.values()
        )
        while len(self._crashes) > REPORTS_MAX or held > FINGERPRINTS_MAX:
            oldest = min(self._crashes, key=self._age_rank)
            held -= len(self._crashes.pop(oldest).report.fingerprints)

    def _age_rank(self, key: tuple[str, int]) -> tuple[float, str, int]:
        return (self._crashes[key].at, *key)

    def _refresh(self, now: float) -> None:
        if now < self._valid_until or not self._crashes:
            return
        self._crashes = {
            key: crash
            for key, crash in self._crashes.items()
            if now - crash.at < CRASH_MEMORY_S
        }
        self._quarantined = self._find_quarantined()
        self._suspects = self._find_suspects(now)
        ends = (
            crash.at + age_s
            for crash in self._crashes.values()
            for age_s in (EXPLAINED_HOLD_S, SUSPECT_S, CRASH_MEMORY_S)
        )
        self._valid_until = min((end for end in ends if end > now), default=now)

    def _find_quarantined(self) -> dict[str, float]:
        """Return the quarantined fingerprints with the end of quarantine."""
        uncleared: dict[str, list[_Crash]] = {}
        for crash in self._crashes.values():
            for fingerprint in crash.uncleared:
                uncleared.setdefault(fingerprint, []).append(crash)
        found = {}
        for fingerprint, crashes in uncleared.items():
            ends = [
                crash.at
                for crash in crashes
                if fingerprint in crash.report.repeats
            ]
            ends += _second_crashes(crashes)
            if ends:
                found[fingerprint] = max(ends) + CRASH_MEMORY_S
        return found

    def _find_suspects(self, now: float) -> frozenset[str]:
        suspects: set[str] = set()
        for crash in self._crashes.values():
            age_s = now - crash.at
            if age_s < EXPLAINED_HOLD_S or (
                age_s < SUSPECT_S and not self._is_explained(crash)
            ):
                suspects |= crash.uncleared
        return frozenset(suspects - self._quarantined.keys())

    def _is_explained(self, crash: _Crash) -> bool:
        """Return whether a quarantined fingerprint ran at the same crash."""
        return any(
            not self._quarantined.keys().isdisjoint(other.uncleared)
            for other in self._crashes.values()
            if other is crash or other.is_same(crash)
        )


def _second_crashes(crashes: list[_Crash]) -> list[float]:
    """Return the earlier time of each pair of distinct crashes."""
    return [
        min(one.at, other.at)
        for position, one in enumerate(crashes)
        for other in crashes[position + 1 :]
        if not one.is_same(other)
    ]


def _to_report(crash: _Crash, now: float) -> CrashReport:
    report = crash.report
    return CrashReport(
        report.origin,
        report.number,
        report.server,
        report.fingerprints,
        repeats=report.repeats,
        cleared=frozenset(crash.cleared),
        age_s=now - crash.at,
    )
