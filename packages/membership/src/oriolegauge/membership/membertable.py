"""Liveness of the other daemons; silence alone never means death."""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

from oriolegauge.membership.memberrecord import Incarnation, MemberRecord
from oriolegauge.membership.view import (
    AliveMember,
    MemberReport,
    MemberState,
    View,
)

SUSPECT_AFTER_S = 1.5
GONE_AFTER_S = 900.0
# Leaves time to close the grants of a member that is gone. A forgotten member
# counts as new, so its 900 s begin again.
FORGET_AFTER_S = 2 * GONE_AFTER_S
REFUSALS_APART_S = 0.2
# The host list may lag by this much: a host that it calls gone was gone at
# some time within these seconds before the list was read.
HOST_LIST_LAG_S = 5.0
# Calls of the table come at least every 500 ms. A longer gap means that this
# process was paused and could not have heard anyone.
PAUSED_AFTER_S = 1.0
MS_PER_S = 1000


class HeardLike(Protocol):
    """State how long ago (ms) the sender heard from a member."""

    @property
    def member(self) -> str:
        """Name the member."""

    @property
    def age_ms(self) -> int:
        """Return the time since the sender heard from it."""


class HeartbeatLike(Protocol):
    """Sign of life of a member."""

    @property
    def member(self) -> str:
        """Name the member."""

    @property
    def incarnation(self) -> str:
        """Name the process of the member."""

    @property
    def zone(self) -> str:
        """Name its availability zone."""

    @property
    def state(self) -> str:
        """Return its lifecycle state."""

    @property
    def heard(self) -> Sequence[HeardLike]:
        """List whom the sender has heard."""


class FailureProof(StrEnum):
    """Kind of evidence against a member."""

    REFUSED = 'refused'
    HOST_GONE = 'host_gone'


class MemberTable:
    """Judge members by heartbeats, answers and evidence.

    Times are seconds of `loop.time()`. The order of incarnations follows from
    round trips: whoever answers a call has outlived every other incarnation
    that was known when the call was sent.
    """

    def __init__(
        self, *, name: str, incarnation: str, zone: str, now: float
    ) -> None:
        """Start with this daemon as the only member."""
        self._own = AliveMember(name, incarnation, zone, 'starting')
        self._records: dict[str, MemberRecord] = {}
        self._last_call = now
        self._view = View(0, {})

    def set_own(self, *, incarnation: str, state: str) -> None:
        """Set this daemon's own incarnation and lifecycle state."""
        own = self._own
        self._own = AliveMember(own.name, incarnation, own.zone, state)

    def observe(self, heartbeat: HeartbeatLike, now: float) -> bool:
        """Note a heartbeat; return False if its incarnation is dead.

        A process that is refused here has to take a new incarnation.
        """
        self._wake(now)
        if heartbeat.member == self._own.name:
            return False
        found = self._record(heartbeat.member).hear(heartbeat.incarnation, now)
        if found is None:
            return False
        found.zone = heartbeat.zone
        found.state = heartbeat.state
        for row in heartbeat.heard:
            self._note_report(heartbeat.member, row, now)
        return True

    def answered(
        self, member: str, incarnation: str, *, asked_at: float, now: float
    ) -> None:
        """Note that the incarnation answered a call sent at `asked_at`."""
        self._wake(now)
        record = self._record(member)
        if record.hear(incarnation, now):
            record.bury(asked_at, incarnation)

    def note_failure_proof(
        self, member: str, kind: FailureProof, *, started_at: float, now: float
    ) -> MemberState:
        """Note evidence from a check that began at `started_at`.

        Return the state that follows from it.
        """
        self._wake(now)
        record = self._record(member)
        match kind:
            case FailureProof.REFUSED:
                _note_refused(record, started_at)
            case FailureProof.HOST_GONE:
                self._note_host_gone(record, started_at, now)
        return self.state(member, now)

    def state(self, member: str, now: float) -> MemberState:
        """Return what is known of the member."""
        self._wake(now)
        if member == self._own.name:
            return MemberState.ALIVE
        record = self._record(member)
        if record.dead and not record.living:
            return MemberState.DEAD
        if _is_heard(record, now):
            return MemberState.ALIVE
        if now - record.silent_since() >= GONE_AFTER_S:
            return MemberState.GONE
        return MemberState.SUSPECT if record.living else MemberState.UNKNOWN

    def is_closable(
        self, member: str, incarnation: str, *, seen_at: float, now: float
    ) -> bool:
        """State whether a holder's grants may be closed.

        `seen_at` is when this daemon last saw a change by the holder in the
        store. The holder is closable if its process is dead, or if there has
        been no sign of it for 900 s, neither there nor at any member.
        """
        if member == self._own.name:
            return False
        self._wake(now)
        record = self._record(member)
        if incarnation in record.dead:
            return True
        if incarnation not in record.living and seen_at < record.dead_before:
            return incarnation != record.survivor
        return now - seen_at >= GONE_AFTER_S and (
            self.state(member, now) is MemberState.GONE
        )

    def view(self, now: float) -> View:
        """Return the members alive, this daemon included."""
        self._wake(now)
        self._forget(now)
        members = {self._own.name: self._own}
        for name, record in sorted(self._records.items()):
            current = record.current()
            if current and _is_heard(record, now):
                members[name] = AliveMember(
                    name, current.name, current.zone, current.state
                )
        if members != self._view.members:
            self._view = View(self._view.version + 1, members)
        return self._view

    def heard(self, now: float) -> tuple[MemberReport, ...]:
        """Return whom this daemon has heard, for its heartbeat."""
        rows = []
        for name, record in self._records.items():
            current = record.current()
            age_s = max(0, now - record.last_heard())
            if current and age_s < GONE_AFTER_S:
                rows.append(
                    MemberReport(name, current.name, int(age_s * MS_PER_S))
                )
        return tuple(rows)

    def members_to_ask(self) -> tuple[str, ...]:
        """Return members with several possible incarnations; call them."""
        return tuple(
            name
            for name, record in self._records.items()
            if len(record.living) > 1
        )

    def _record(self, member: str) -> MemberRecord:
        found = self._records.get(member)
        if found is None:
            # Silence counts from when this table first asks for a member.
            found = MemberRecord(member, self._last_call)
            self._records[member] = found
        return found

    def _forget(self, now: float) -> None:
        forgotten = [
            name
            for name, record in self._records.items()
            if now - record.silent_since() >= FORGET_AFTER_S
        ]
        for name in forgotten:
            self._records.pop(name)

    def _wake(self, now: float) -> None:
        pause_s = now - self._last_call
        self._last_call = now
        if pause_s > PAUSED_AFTER_S:
            for record in self._records.values():
                record.shift(pause_s)

    def _note_report(self, reporter: str, row: HeardLike, now: float) -> None:
        if row.member == self._own.name:
            return
        record = self._record(row.member)
        heard_at = now - row.age_ms / MS_PER_S
        earlier = record.reports.get(reporter, -math.inf)
        record.reports[reporter] = max(earlier, heard_at)

    def _note_host_gone(
        self, record: MemberRecord, read_at: float, now: float
    ) -> None:
        silent_s = read_at - record.silent_since()
        if silent_s < HOST_LIST_LAG_S or not self._hears_most(record, now):
            return
        record.bury(read_at - HOST_LIST_LAG_S, None)

    def _hears_most(self, subject: MemberRecord, now: float) -> bool:
        # A daemon that is itself cut off can't tell what others have heard.
        others = [
            record
            for record in self._records.values()
            if record.living and record is not subject
        ]
        heard = sum(_is_heard(record, now) for record in others)
        return heard * 2 >= len(others)


def _note_refused(record: MemberRecord, started_at: float) -> None:
    # An attempt that began before the last sign may have met an earlier
    # process, or one that was about to listen.
    if started_at <= record.last_heard():
        return
    if record.refused_at is None:
        record.refused_at = started_at
    elif started_at - record.refused_at >= REFUSALS_APART_S:
        record.bury(record.refused_at, None)


def _is_heard(record: MemberRecord, now: float) -> bool:
    return any(
        _silence(found, now) < SUSPECT_AFTER_S
        for found in record.living.values()
    )


def _silence(found: Incarnation, now: float) -> float:
    return now - found.silent_since
