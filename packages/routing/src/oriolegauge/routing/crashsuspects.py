"""Attribution of server crashes to the fingerprints of requests.

Fingerprints are those of whole requests and of prompt parts. Each crash has as
suspects the fingerprints of the requests that the server had not begun to
answer. An answer to a request clears its fingerprints of all crashes before.
The suspects that the same two or more crashes leave explain them: requests with
all of these are held, and those that were themselves at all of these crashes,
which may have moved from server to server together. Other requests with some of
them pass, and so tell which of them is harmful.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import structlog

from oriolegauge.routing.crashquarantine import CRASH_MEMORY_S

# Prefix of the fingerprint of a whole request.
REQUEST_PREFIX = 'request:'
# Servers that crash within this time may share a cause other than a request,
# unless the same request was sent to both.
SAME_CAUSE_S = 0.2
MIN_CRASHES = 2
# How long requests are held after the last of so many crashes. Then the daemons
# take turns to try one; after more crashes none is tried.
HOLD_S: Mapping[int, float] = {2: 4.0, 3: 12.0, 4: 60.0}
MAX_TRIED_CRASHES = max(HOLD_S)
# Long enough for the outcome of a trial to reach the daemon with the next turn.
TURN_S = 2.0
# Crashes that nothing explains are reported to peers for this time.
UNEXPLAINED_REPORT_S = 60.0
# A report that arrives later than another one has a time later by its transit.
REPORT_TRANSIT_S = 0.05
# Bounds of the memory that reports of peers can take.
MAX_CRASHES = 128
MAX_SUSPECTS = 256
# Bounds of a report, which is repeated with each heartbeat.
MAX_UNEXPLAINED_REPORTED = 8
MAX_EXPLAINED_REPORTED = 8
MAX_SUSPECTS_REPORTED = 64
MAX_CLEARED_REPORTED = 24

CrashKey = tuple[str, int]

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """Describe a crash of the server process that began at `started_ms`.

    `cleared` are suspects that were answered later. It is `age_s` seconds old.
    """

    server: str
    started_ms: int
    age_s: float
    suspects: frozenset[str]
    cleared: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Held:
    """State that a request is held for `wait_s` seconds, and why."""

    wait_s: float
    crashes: int
    fingerprints: frozenset[str]


@dataclass(slots=True)
class _Crash:
    """Hold what is known of a crash; `cleared` keeps the order of arrival."""

    at: float
    suspects: set[str] = field(default_factory=set)
    cleared: dict[str, None] = field(default_factory=dict)
    uncleared: set[str] = field(default_factory=set)

    def add(self, suspects: Iterable[str], cleared: Iterable[str]) -> bool:
        """Add fingerprints within the bounds; return whether any are new."""
        before = self.suspects, self.cleared.keys()
        self.suspects = set(
            sorted(self.suspects.union(suspects))[:MAX_SUSPECTS]
        )
        self.cleared = dict.fromkeys([*self.cleared, *cleared][-MAX_SUSPECTS:])
        self.uncleared = self.suspects - self.cleared.keys()
        return before != (self.suspects, self.cleared.keys())


@dataclass(frozen=True, slots=True)
class _Explanation:
    """Hold the fingerprints that explain the crashes with `keys`.

    `moments` counts the crashes that can't share another cause.
    """

    fingerprints: frozenset[str]
    keys: frozenset[CrashKey]
    moments: int
    last_at: float

    def is_met_by(self, fingerprints: frozenset[str]) -> bool:
        """State whether a request with these may have caused the crashes."""
        shared = self.fingerprints & fingerprints
        return shared == self.fingerprints or any(
            one.startswith(REQUEST_PREFIX) for one in shared
        )

    @property
    def severity(self) -> int:
        """Return the crashes that decide on the length of the hold."""
        if self.moments > MAX_TRIED_CRASHES:
            return self.moments
        return min(MAX_TRIED_CRASHES, max(self.moments, len(self.keys)))


class CrashSuspects:
    """Derive the requests to hold from the crashes that all daemons report.

    Daemons that know the same crashes hold the same requests, in whatever
    order and however often the reports arrived.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        has_turn: Callable[[int], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Call `on_change` when there is something new to tell the peers.

        `clock` must also count the time in which the process is suspended.
        `has_turn(number)` is true on one daemon of the fleet for each number.
        """
        self._clock = clock
        self._has_turn = has_turn
        self._on_change = on_change
        self._crashes: dict[CrashKey, _Crash] = {}
        self._explanations: tuple[_Explanation, ...] = ()
        # Number of the last turn that was used, by explanation.
        self._turns: dict[frozenset[str], int] = {}

    @property
    def is_empty(self) -> bool:
        """State whether no crash is known."""
        return not self._crashes

    def note(self, key: CrashKey, suspects: frozenset[str]) -> None:
        """Record the requests of this daemon at a crash."""
        self._merge(ServerCrash(*key, 0, suspects))

    def learn(self, crashes: Iterable[ServerCrash]) -> None:
        """Record the crashes that a peer or the store reports."""
        for crash in crashes:
            if 0 <= crash.age_s < CRASH_MEMORY_S:
                self._merge(crash)

    def note_harmless(self, fingerprints: frozenset[str]) -> None:
        """Clear the fingerprints of a request that a server has answered."""
        changed = [
            crash
            for crash in self._crashes.values()
            if not fingerprints.isdisjoint(crash.uncleared)
        ]
        if not changed:
            return
        for crash in changed:
            crash.add((), fingerprints & crash.uncleared)
        was_held = any(
            not one.fingerprints.isdisjoint(fingerprints)
            for one in self._explanations
        )
        self._explain()
        if was_held:
            self._on_change()

    def held(self, fingerprints: frozenset[str]) -> Held | None:
        """Return why a request may not be sent now, None if it may.

        A request that is let through as a trial counts as sent.
        """
        now = self._clock()
        self._forget_old(now)
        for one in self._explanations:
            if one.is_met_by(fingerprints):
                wait_s = self._wait_s(one, now)
                if wait_s > 0:
                    return Held(wait_s, len(one.keys), one.fingerprints)
                log.info(
                    'held request tried',
                    fingerprints=sorted(one.fingerprints),
                    crashes=len(one.keys),
                )
        return None

    def all(self) -> tuple[ServerCrash, ...]:
        """Return the crashes to report to peers."""
        oldest = self._clock() - UNEXPLAINED_REPORT_S
        explained = {key for one in self._explanations for key in one.keys}
        recent = sorted(
            (crash.at, key)
            for key, crash in self._crashes.items()
            if key not in explained and crash.at > oldest
        )
        ranks = Counter(
            fingerprint
            for _, key in recent
            for fingerprint in self._crashes[key].uncleared
        )
        unexplained = tuple(
            self._report(key, _first(self._crashes[key].uncleared, ranks))
            for _, key in recent[-MAX_UNEXPLAINED_REPORTED:]
        )
        return (*self.explained(), *unexplained)

    def explained(self) -> tuple[ServerCrash, ...]:
        """Return the last crashes for which requests are held."""
        return tuple(
            self._report(key, one.fingerprints)
            for one in self._explanations
            for key in sorted(one.keys, key=self._age_rank)[
                -MAX_EXPLAINED_REPORTED:
            ]
        )

    def _report(self, key: CrashKey, suspects: frozenset[str]) -> ServerCrash:
        crash = self._crashes[key]
        cleared = tuple(crash.cleared)[-MAX_CLEARED_REPORTED:]
        age_s = max(0, self._clock() - crash.at)
        return ServerCrash(*key, age_s, suspects, frozenset(cleared))

    def _wait_s(self, explanation: _Explanation, now: float) -> float:
        """Return the seconds until a trial, 0 if this daemon makes one now."""
        hold_s = HOLD_S.get(explanation.severity, CRASH_MEMORY_S)
        passed_s = now - explanation.last_at - hold_s
        if passed_s < 0:
            return -passed_s
        turn = int(passed_s / TURN_S)
        is_used = self._turns.get(explanation.fingerprints) == turn
        if is_used or not self._has_turn(turn):
            return TURN_S
        self._turns[explanation.fingerprints] = turn
        return 0

    def _merge(self, reported: ServerCrash) -> None:
        key = (reported.server, reported.started_ms)
        at = self._clock() - reported.age_s
        crash = self._crashes.setdefault(key, _Crash(at))
        is_earlier = at < crash.at - REPORT_TRANSIT_S
        if is_earlier:
            crash.at = at
        is_news = crash.add(reported.suspects, reported.cleared)
        if is_news:
            while len(self._crashes) > MAX_CRASHES:
                del self._crashes[min(self._crashes, key=self._age_rank)]
        if is_earlier or is_news:
            self._explain()
        if is_news:
            self._on_change()

    def _age_rank(self, key: CrashKey) -> tuple[float, CrashKey]:
        return self._crashes[key].at, key

    def _forget_old(self, now: float) -> None:
        old = [
            key
            for key, crash in self._crashes.items()
            if now - crash.at >= CRASH_MEMORY_S
        ]
        if not old:
            return
        for key in old:
            del self._crashes[key]
        self._explain()

    def _explain(self) -> None:
        found = tuple(_explanations(self._crashes))
        known = {one.fingerprints: one for one in self._explanations}
        for one in found:
            before = known.pop(one.fingerprints, None)
            if before is None or before.keys != one.keys:
                log.warning(
                    'requests held',
                    fingerprints=sorted(one.fingerprints),
                    crashes=len(one.keys),
                    servers=sorted(server for server, _ in one.keys),
                    hold_s=HOLD_S.get(one.severity, CRASH_MEMORY_S),
                )
        for ended in known:
            log.info('requests held no more', fingerprints=sorted(ended))
            self._turns.pop(ended, None)
        self._explanations = found


def _explanations(
    crashes: Mapping[CrashKey, _Crash],
) -> Iterable[_Explanation]:
    """Yield the fewest fingerprints that explain the most crashes, first."""
    open_crashes = dict(crashes)
    while True:
        keys_of: dict[str, set[CrashKey]] = {}
        for key, crash in open_crashes.items():
            for fingerprint in crash.uncleared:
                keys_of.setdefault(fingerprint, set()).add(key)
        found = max(
            (
                (_moments(keys, open_crashes), len(keys), fingerprint)
                for fingerprint, keys in keys_of.items()
                if len(keys) >= MIN_CRASHES
            ),
            default=(0, 0, ''),
        )
        moments, _, best = found
        if moments < MIN_CRASHES:
            return
        keys = keys_of[best]
        yield _Explanation(
            fingerprints=frozenset(
                fingerprint
                for fingerprint, others in keys_of.items()
                if others == keys
            ),
            keys=frozenset(keys),
            moments=moments,
            last_at=max(open_crashes[key].at for key in keys),
        )
        for key in keys:
            del open_crashes[key]


def _moments(
    keys: Iterable[CrashKey], crashes: Mapping[CrashKey, _Crash]
) -> int:
    """Return the number of crashes that can't share another cause."""
    ordered = sorted((crashes[key] for key in keys), key=lambda one: one.at)
    count = 1
    last = ordered[0]
    for crash in ordered[1:]:
        is_later = crash.at - last.at >= SAME_CAUSE_S
        if is_later or _is_sent_again(last, crash):
            count += 1
            last = crash
    return count


def _first(
    fingerprints: Iterable[str], ranks: Mapping[str, int]
) -> frozenset[str]:
    """Return those that most crashes have in common, up to the bound."""
    ordered = sorted(
        fingerprints,
        key=lambda one: (-ranks[one], one.startswith(REQUEST_PREFIX), one),
    )
    return frozenset(ordered[:MAX_SUSPECTS_REPORTED])


def _is_sent_again(one: _Crash, other: _Crash) -> bool:
    return any(
        fingerprint.startswith(REQUEST_PREFIX)
        for fingerprint in one.suspects & other.suspects
    )
