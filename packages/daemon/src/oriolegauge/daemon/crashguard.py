"""Keep requests that crash backend servers from crashing more of them."""

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

# A permit outlives a lost release by at most this time.
PERMIT_S = 600.0
CLAIM_TIMEOUT_S = 1.0

log = structlog.get_logger()


class CrowdedError(OriolegaugeError):
    """Report that a suspect may not run on this server now."""

    code = ResultCode.NO_SERVER

    def __init__(self, message: str, *, server: str) -> None:
        """Name the server that the suspect has to avoid."""
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
        """Report as `origin`, a name that no other process start ever uses."""
        self._name = name
        self._mesh = mesh
        self._clock = clock
        self._quarantine = CrashQuarantine(origin=origin)
        self._in_flight: dict[str, Counter[str]] = {}
        self._isolated: set[str] = set()
        self._crashed_at: dict[str, float] = {}
        self._permits: dict[str, tuple[str, float]] = {}

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints that are refused now."""
        return self._quarantine.quarantined(self._clock())

    def check(self, fingerprint: str) -> None:
        """Raise QuarantinedError for a request that crashed two servers."""
        if fingerprint in self.quarantined:
            raise QuarantinedError(
                'this request crashed two backend servers', retry_after_s=3600
            )

    @asynccontextmanager
    async def running(
        self, fingerprint: str, server: str
    ) -> AsyncIterator[None]:
        """Count a request on a server; raise CrowdedError for a suspect."""
        suspect = fingerprint in self._quarantine.suspects(self._clock())
        if suspect:
            await self._claim(fingerprint, server)
        there = self._in_flight.setdefault(server, Counter())
        there[fingerprint] += 1
        try:
            yield
        finally:
            there[fingerprint] -= 1
            if not there[fingerprint]:
                there.pop(fingerprint)
            if suspect:
                await self._release(fingerprint, server)

    async def crashed(self, server: str, started_at: float) -> None:
        """Report a crash to all members before anything runs again.

        A cut of a request that started before the last crash there belongs to
        that crash.
        """
        now = self._clock()
        if started_at <= self._crashed_at.get(server, float('-inf')):
            return
        self._crashed_at[server] = now
        there = self._in_flight.get(server, Counter())
        report = self._quarantine.crashed(
            server, tuple(there), now, isolated=self._isolated & there.keys()
        )
        log.warning('server crashed', server=server, in_flight=len(there))
        await self._mesh.broadcast(report)

    async def succeeded(self, fingerprint: str) -> None:
        """Clear a suspect that ran."""
        if fingerprint not in self._quarantine.suspects(self._clock()):
            return
        for report in self._quarantine.succeeded(fingerprint, self._clock()):
            await self._mesh.broadcast(report)

    def merge(self, report: CrashReport) -> None:
        """Take over a report of a peer."""
        self._quarantine.merge(report, self._clock())

    async def share(self, member: str) -> None:
        """Send all reports to a member that was cut off or is new."""
        for report in self._quarantine.reports(self._clock()):
            try:
                await self._mesh.call(member, report)
            except OriolegaugeError:
                return

    def permit(self, claim: SuspectClaim) -> Ack:
        """Decide, as coordinator, whether a suspect may run on a server."""
        now = self._clock()
        self._permits = {
            fingerprint: row
            for fingerprint, row in self._permits.items()
            if now - row[1] < PERMIT_S
        }
        running: dict[str, list[str]] = {}
        for fingerprint, (server, _) in self._permits.items():
            running.setdefault(server, []).append(fingerprint)
        verdict = self._quarantine.admit(
            claim.fingerprint, claim.server, now, running=running
        )
        # The asker may know of a crash that this member has not heard of, so
        # a fingerprint without a record here is isolated as well.
        if claim.fingerprint in self._permits or claim.server in running:
            return Ack(accepted=False)
        if not isinstance(verdict, Free | Isolated):
            return Ack(accepted=False)
        self._permits[claim.fingerprint] = (claim.server, now)
        return Ack()

    def end_permit(self, release: SuspectRelease) -> Ack:
        """Free the server of a suspect, as coordinator."""
        self._permits.pop(release.fingerprint, None)
        return Ack()

    async def _claim(self, fingerprint: str, server: str) -> None:
        claim = SuspectClaim(fingerprint, server)
        coordinator = self._coordinator()
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                answer = (
                    self.permit(claim)
                    if coordinator == self._name
                    else await self._mesh.call(coordinator, claim)
                )
        except (OriolegaugeError, TimeoutError) as error:
            raise CrowdedError(
                'the coordinator is unreachable', server=server
            ) from error
        if not isinstance(answer, Ack) or not answer.accepted:
            raise CrowdedError(
                'another suspect runs on this server', server=server
            )
        self._isolated.add(fingerprint)

    async def _release(self, fingerprint: str, server: str) -> None:
        self._isolated.discard(fingerprint)
        release = SuspectRelease(fingerprint, server)
        coordinator = self._coordinator()
        if coordinator == self._name:
            self.end_permit(release)
            return
        try:
            await self._mesh.call(coordinator, release)
        except OriolegaugeError as error:
            log.info('suspect permit not released', error=str(error))

    def _coordinator(self) -> str:
        return first(SUSPECT_OWNER_KEY, self._mesh.view().members) or self._name
