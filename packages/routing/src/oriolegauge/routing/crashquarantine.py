"""Isolation and quarantine of requests that crash backend servers."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from oriolegauge.core import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode

# A suspect runs isolated for this long after its one crash at most.
SUSPECT_S = 600.0
# Two crashes within this time quarantine; a report is forgotten after it, so
# this also bounds how long an innocent fingerprint stays quarantined.
CRASH_MEMORY_S = 3600.0
# Daemons see one crash at different times, by a reset or by a timeout.
SAME_CRASH_S = 5.0
# An explained crash keeps its suspects isolated until a second crash of the
# server can't be taken for the first, with as much again for late reports.
EXPLAINED_HOLD_S = 2 * SAME_CRASH_S
# One member places all suspects: with an owner per fingerprint, two owners
# whose load reports lag could send suspects to one server.
SUSPECT_OWNER_KEY = 'crash-suspects'
REPORTS_MAX = 1_000
FINGERPRINTS_MAX = 50_000


class QuarantinedError(OriolegaugeError):
    """Refuse a request that was present at two crashes."""

    code = ResultCode.QUARANTINED


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell peers what one daemon had in flight on a crashed server.

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
class Crowded:
    """Keep the suspect off this server: it or another suspect is running."""


@dataclass(frozen=True, slots=True)
class OwnerOnly:
    """Leave the suspect to the member that places all suspects."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Refuse the request for `retry_after_s` seconds."""

    retry_after_s: float


Verdict = Free | Isolated | Crowded | OwnerOnly | Quarantined


@dataclass(slots=True)
class _Crash:
    report: CrashReport
    at: float
    cleared: set[str] = field(default_factory=set)

    @property
    def blamed(self) -> frozenset[str]:
        return self.report.fingerprints - self.cleared

    def is_same(self, other: '_Crash') -> bool:
        """Return whether both reports may stem from one crash."""
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
        """Report as `origin`, a name that no other process start ever uses."""
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
        """Blame what this daemon had in flight there; return what to send.

        `isolated` are those admitted as Isolated: their crash is a second one
        even if the same server crashed a moment ago.
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
        """Add a report of a peer; return whether it told anything new."""
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
        self._bound()
        self._valid_until = now
        return is_new

    def succeeded(
        self, fingerprint: str, now: float
    ) -> tuple[CrashReport, ...]:
        """Clear a suspect that ran; return the changed reports to send."""
        self._refresh(now)
        if fingerprint in self._quarantined:
            return ()
        changed = [
            crash
            for crash in self._crashes.values()
            if fingerprint in crash.blamed
        ]
        for crash in changed:
            crash.cleared.add(fingerprint)
            self._valid_until = now
        return tuple(_to_report(crash, now) for crash in changed)

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return all reports held, for a peer that was cut off."""
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

        `running` maps servers to the fingerprints there, of this daemon and
        its peers. `is_owner` tells whether this daemon ranks first for
        SUSPECT_OWNER_KEY among the members that are not known to be dead.
        """
        self._refresh(now)
        until = self._quarantined.get(fingerprint)
        if until is not None:
            return Quarantined(until - now)
        if fingerprint not in self._suspects:
            return Free()
        # In a partition, all sides but the owner's stop at their first crash.
        if not is_owner:
            return OwnerOnly()
        if any(fingerprint in there for there in running.values()):
            return Crowded()
        if any(self._is_blamed(other) for other in running.get(server, ())):
            return Crowded()
        return Isolated()

    def suspects(self, now: float) -> frozenset[str]:
        """Return the fingerprints that run isolated."""
        self._refresh(now)
        return self._suspects

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the fingerprints that are refused."""
        self._refresh(now)
        return frozenset(self._quarantined)

    def _is_blamed(self, fingerprint: str) -> bool:
        return fingerprint in self._suspects or fingerprint in self._quarantined

    def _bound(self) -> None:
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
        """Return the quarantined fingerprints and when they are released."""
        blamed: dict[str, list[_Crash]] = {}
        for crash in self._crashes.values():
            for fingerprint in crash.blamed:
                blamed.setdefault(fingerprint, []).append(crash)
        found = {}
        for fingerprint, crashes in blamed.items():
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
                suspects |= crash.blamed
        return frozenset(suspects - self._quarantined.keys())

    def _is_explained(self, crash: _Crash) -> bool:
        """Return whether a quarantined fingerprint was at the same crash."""
        return any(
            not self._quarantined.keys().isdisjoint(other.blamed)
            for other in self._crashes.values()
            if other is crash or other.is_same(crash)
        )


def _second_crashes(crashes: list[_Crash]) -> list[float]:
    """Return the earlier time of each pair of different crashes."""
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
