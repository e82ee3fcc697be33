"""Limit how many backend servers one request can crash.

A request in flight on a server that crashed becomes a suspect and runs only
on servers without another suspect, so that a second crash shows which request
causes it. The request is then quarantined: every daemon refuses it.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import structlog

from oriolegauge.core import first
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.mesh import PeerMesh
from oriolegauge.routing.crashquarantine import (
    SUSPECT_OWNER_KEY,
    CrashQuarantine,
    CrashReport,
    Free,
    Isolated,
    QuarantinedError,
)
from oriolegauge.wire.messages import Ack, SuspectClaim, SuspectRelease

# Expiry of a permit whose release message was lost.
PERMIT_MAX_S = 600.0
CLAIM_TIMEOUT_S = 1.0

log = structlog.get_logger()


class SuspectRefusedError(OriolegaugeError):
    """Report that the coordinator gave no permit to run on this server."""

    code = ResultCode.NO_SERVER

    def __init__(self, message: str, *, server: str) -> None:
        """Name the server that the suspect must not run on now."""
        super().__init__(message, retry_after_s=1)
        self.server = server


class CrashGuard:
    """Report crashes, isolate suspects and refuse quarantined requests."""

    def __init__(
        self,
        *,
        origin: str,
        name: str,
        mesh: PeerMesh,
        clock: Callable[[], float],
    ) -> None:
        """Report as `origin`, which must be unique to this process start."""
        self._name = name
        self._mesh = mesh
        self._clock = clock
        self._quarantine = CrashQuarantine(origin=origin)
        self._in_flight: dict[str, Counter[str]] = {}
        self._isolated: set[str] = set()
        self._crashed_at: dict[str, float] = {}
        self._permits_by_fingerprint: dict[str, tuple[str, float]] = {}

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints that are refused now."""
        return self._quarantine.quarantined(self._clock())

    def refuse_quarantined(self, fingerprint: str) -> None:
        """Raise QuarantinedError if the request crashed two servers."""
        if fingerprint in self.quarantined:
            raise QuarantinedError(
                'this request crashed two backend servers', retry_after_s=3600
            )

    @asynccontextmanager
    async def track_request(
        self, fingerprint: str, server: str
    ) -> AsyncIterator[None]:
        """Count a request as in flight on a server.

        Raise SuspectRefusedError for a suspect that gets no permit.
        """
        is_suspect = fingerprint in self._quarantine.suspects(self._clock())
        if is_suspect:
            await self._claim_permit(fingerprint, server)
        fingerprints = self._in_flight.setdefault(server, Counter())
        fingerprints[fingerprint] += 1
        try:
            yield
        finally:
            fingerprints[fingerprint] -= 1
            if not fingerprints[fingerprint]:
                fingerprints.pop(fingerprint)
            if is_suspect:
                await self._release_permit(fingerprint, server)

    async def report_crash(self, server: str, started_at: float) -> None:
        """Report a crash to all members before any request is retried.

        Several connections break in one crash: the failure of a request that
        started before the last known crash belongs to that crash.
        """
        now = self._clock()
        if started_at <= self._crashed_at.get(server, float('-inf')):
            return
        self._crashed_at[server] = now
        fingerprints = self._in_flight.get(server, Counter())
        report = self._quarantine.crashed(
            server,
            tuple(fingerprints),
            now,
            isolated=self._isolated & fingerprints.keys(),
        )
        log.warning(
            'server crashed', server=server, in_flight=len(fingerprints)
        )
        await self._mesh.broadcast(report)

    async def clear_suspect(self, fingerprint: str) -> None:
        """Tell all members that a suspect ran without a crash."""
        if fingerprint not in self._quarantine.suspects(self._clock()):
            return
        for report in self._quarantine.succeeded(fingerprint, self._clock()):
            await self._mesh.broadcast(report)

    def merge(self, report: CrashReport) -> None:
        """Merge a crash report of a peer."""
        self._quarantine.merge(report, self._clock())

    async def send_reports(self, member: str) -> None:
        """Send all reports to a member that is new or was unreachable."""
        for report in self._quarantine.reports(self._clock()):
            try:
                await self._mesh.call(member, report)
            except OriolegaugeError:
                return

    def handle_suspect_claim(self, claim: SuspectClaim) -> Ack:
        """Decide as coordinator whether a suspect may run on a server."""
        now = self._clock()
        self._permits_by_fingerprint = {
            fingerprint: row
            for fingerprint, row in self._permits_by_fingerprint.items()
            if now - row[1] < PERMIT_MAX_S
        }
        running: dict[str, list[str]] = {}
        for fingerprint, (server, _) in self._permits_by_fingerprint.items():
            running.setdefault(server, []).append(fingerprint)
        verdict = self._quarantine.admit(
            claim.fingerprint, claim.server, now, running=running
        )
        # The sender may know of a crash that was not yet reported here, so a
        # fingerprint without a report is isolated as well.
        if (
            claim.fingerprint in self._permits_by_fingerprint
            or claim.server in running
        ):
            return Ack(accepted=False)
        if not isinstance(verdict, Free | Isolated):
            return Ack(accepted=False)
        self._permits_by_fingerprint[claim.fingerprint] = (claim.server, now)
        return Ack()

    def handle_suspect_release(self, release: SuspectRelease) -> Ack:
        """End the permit of a suspect as coordinator."""
        self._permits_by_fingerprint.pop(release.fingerprint, None)
        return Ack()

    async def _claim_permit(self, fingerprint: str, server: str) -> None:
        claim = SuspectClaim(fingerprint, server)
        coordinator = self._coordinator()
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                answer = (
                    self.handle_suspect_claim(claim)
                    if coordinator == self._name
                    else await self._mesh.call(coordinator, claim)
                )
        except (OriolegaugeError, TimeoutError) as error:
            raise SuspectRefusedError(
                'the coordinator is unreachable', server=server
            ) from error
        if not isinstance(answer, Ack) or not answer.accepted:
            raise SuspectRefusedError(
                'another suspect runs on this server', server=server
            )
        self._isolated.add(fingerprint)

    async def _release_permit(self, fingerprint: str, server: str) -> None:
        self._isolated.discard(fingerprint)
        release = SuspectRelease(fingerprint, server)
        coordinator = self._coordinator()
        if coordinator == self._name:
            self.handle_suspect_release(release)
            return
        try:
            await self._mesh.call(coordinator, release)
        except OriolegaugeError as error:
            log.info('suspect permit not released', error=str(error))

    def _coordinator(self) -> str:
        return first(SUSPECT_OWNER_KEY, self._mesh.view().members) or self._name
