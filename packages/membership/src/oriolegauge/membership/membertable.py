"""Liveness of the other daemons, from heartbeats and proofs of failure.

Silence alone never marks a member dead: a slow network or a frozen host
looks the same, and the grants of a running process must not be closed.
"""

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
# Longer than GONE_AFTER_S, to leave time to close the grants of a member that
# is gone. A forgotten member counts as new, so its 900 s begin again.
FORGET_AFTER_S = 2 * GONE_AFTER_S
MIN_REFUSAL_GAP_S = 0.2
# The list of hosts may be this old: a host that is missing from it was missing
# at some time within these seconds before it was read.
HOST_LIST_LAG_S = 5.0
# The table is used at least every 500 ms. A longer gap means that this process
# was paused and could not receive messages.
PAUSED_AFTER_S = 1.0
MS_PER_S = 1000


class MemberReportLike(Protocol):
    """Row of a heartbeat: the sender's last contact with a member."""

    @property
    def member(self) -> str:
        """Return the name of the member."""

    @property
    def age_ms(self) -> int:
        """Return the milliseconds since the last contact."""


class HeartbeatLike(Protocol):
    """Heartbeat of a member."""

    @property
    def member(self) -> str:
        """Return the name of the sender."""

    @property
    def incarnation(self) -> str:
        """Return the id of the process."""

    @property
    def zone(self) -> str:
        """Return its availability zone."""

    @property
    def state(self) -> str:
        """Return its lifecycle state."""

    @property
    def heard(self) -> Sequence[MemberReportLike]:
        """Return the last contacts of the sender with other members."""


class FailureProof(StrEnum):
    """Fact that proves the end of a process, in contrast to silence."""

    REFUSED = 'refused'
    HOST_GONE = 'host_gone'


class MemberTable:
    """Derive the state of members from heartbeats, replies and proofs.

    Times are seconds of `loop.time()`. The order of incarnations follows from
    round trips: one that replies to a call is newer than every other
    incarnation that was known when the call was sent.
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
        """Set incarnation and lifecycle state of this daemon."""
        own = self._own
        self._own = AliveMember(own.name, incarnation, own.zone, state)

    def observe(self, heartbeat: HeartbeatLike, now: float) -> bool:
        """Note a heartbeat; return False if its incarnation is dead.

        The sender of a refused heartbeat has to take a new incarnation.
        """
        self._discount_own_pause(now)
        if heartbeat.member == self._own.name:
            return False
        found = self._record(heartbeat.member).note_contact(
            heartbeat.incarnation, now
        )
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
        """Note a reply of the incarnation to a call sent at `asked_at`."""
        self._discount_own_pause(now)
        record = self._record(member)
        if record.note_contact(incarnation, now):
            record.mark_dead(asked_at, incarnation)

    def note_failure_proof(
        self, member: str, kind: FailureProof, *, started_at: float, now: float
    ) -> MemberState:
        """Note the result of a check that began at `started_at`.

        The process ended if two connections are refused, or if its host is
        silent and missing from the list of hosts. Return the new state.
        """
        self._discount_own_pause(now)
        record = self._record(member)
        match kind:
            case FailureProof.REFUSED:
                _note_refused(record, started_at)
            case FailureProof.HOST_GONE:
                self._note_host_gone(record, started_at, now)
        return self.state(member, now)

    def state(self, member: str, now: float) -> MemberState:
        """Return the state of the member."""
        self._discount_own_pause(now)
        if member == self._own.name:
            return MemberState.ALIVE
        record = self._record(member)
        if record.dead and not record.live:
            return MemberState.DEAD
        if _is_responsive(record, now):
            return MemberState.ALIVE
        if now - record.silent_since() >= GONE_AFTER_S:
            return MemberState.GONE
        return MemberState.SUSPECT if record.live else MemberState.UNKNOWN

    def is_closable(
        self, member: str, incarnation: str, *, seen_at: float, now: float
    ) -> bool:
        """State whether the grants of a holder may be closed.

        `seen_at` is when this daemon last saw a change by the holder in the
        store. Grants are closable if the process is dead, or if for 900 s it
        changed nothing in the store and no member had contact with it.
        """
        if member == self._own.name:
            return False
        self._discount_own_pause(now)
        record = self._record(member)
        if incarnation in record.dead:
            return True
        if incarnation not in record.live and seen_at < record.dead_before:
            return incarnation != record.confirmed
        return now - seen_at >= GONE_AFTER_S and (
            self.state(member, now) is MemberState.GONE
        )

    def view(self, now: float) -> View:
        """Return the alive members, this daemon included."""
        self._discount_own_pause(now)
        self._forget(now)
        members = {self._own.name: self._own}
        for name, record in sorted(self._records.items()):
            current = record.current()
            if current and _is_responsive(record, now):
                members[name] = AliveMember(
                    name, current.name, current.zone, current.state
                )
        if members != self._view.members:
            self._view = View(self._view.version + 1, members)
        return self._view

    def heard(self, now: float) -> tuple[MemberReport, ...]:
        """Return the last contact with each member, for the own heartbeat."""
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
        """Return members to call, since several incarnations may be live."""
        return tuple(
            name
            for name, record in self._records.items()
            if len(record.live) > 1
        )

    def _record(self, member: str) -> MemberRecord:
        found = self._records.get(member)
        if found is None:
            # Silence counts from the first use of the member in this table.
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

    def _discount_own_pause(self, now: float) -> None:
        pause_s = now - self._last_call
        self._last_call = now
        if pause_s > PAUSED_AFTER_S:
            for record in self._records.values():
                record.discount_pause(pause_s)

    def _note_report(
        self, reporter: str, row: MemberReportLike, now: float
    ) -> None:
        if row.member == self._own.name:
            return
        record = self._record(row.member)
        contact_at = now - row.age_ms / MS_PER_S
        earlier = record.reports.get(reporter, -math.inf)
        record.reports[reporter] = max(earlier, contact_at)

    def _note_host_gone(
        self, record: MemberRecord, read_at: float, now: float
    ) -> None:
        silent_s = read_at - record.silent_since()
        if silent_s < HOST_LIST_LAG_S or not self._reaches_most_members(
            record, now
        ):
            return
        record.mark_dead(read_at - HOST_LIST_LAG_S, None)

    def _reaches_most_members(self, subject: MemberRecord, now: float) -> bool:
        # A partitioned daemon doesn't get the reports of others, so it can't
        # rule out that they had contact with the member.
        others = [
            record
            for record in self._records.values()
            if record.live and record is not subject
        ]
        heard = sum(_is_responsive(record, now) for record in others)
        return heard * 2 >= len(others)


def _note_refused(record: MemberRecord, started_at: float) -> None:
    # A connection attempt that began before the last message may have reached
    # an earlier process, or one that was not listening yet.
    if started_at <= record.last_heard():
        return
    if record.first_refused_at is None:
        record.first_refused_at = started_at
    elif started_at - record.first_refused_at >= MIN_REFUSAL_GAP_S:
        record.mark_dead(record.first_refused_at, None)


def _is_responsive(record: MemberRecord, now: float) -> bool:
    return any(
        _silence(found, now) < SUSPECT_AFTER_S for found in record.live.values()
    )


def _silence(found: Incarnation, now: float) -> float:
    return now - found.silent_since
