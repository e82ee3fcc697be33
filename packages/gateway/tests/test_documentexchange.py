"""Documents between daemons, also of builds that know no eras."""

import asyncio
import math

import pytest

from oriolegauge.gateway.documentexchange import (
    FETCH_TIMEOUT_S,
    DocumentExchange,
)
from oriolegauge.gateway.documentsources import (
    FAILED_PAUSE_S,
    MAX_FETCHES,
    SLOW_FETCH_S,
)
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.objectstore import store_version
from oriolegauge.wire import PeerTimeoutError, PeerUnreachableError
from oriolegauge.wire.messages import (
    NEVER_MS,
    ConfigFetch,
    ConfigObject,
    ConfigObjects,
    ConfigVersion,
    Heartbeat,
)

KEY = 'servers'
NEWER = Document(20, b'newer', 'store')


def heartbeat(**versions):
    return Heartbeat(
        member='p', incarnation='1', zone='z', state='serving', **versions
    )


class Peer:
    """Answer fetches with one document; `knows_eras` as the build does."""

    def __init__(self, version, *, knows_eras):
        self.version = version
        self.knows_eras = knows_eras
        self.calls = 0

    async def call(self, peer, message, timeout_s):
        self.calls += 1
        return ConfigObjects(
            objects=(ConfigObject(KEY, self.version, NEWER.packed),),
            has_eras=self.knows_eras and message.knows_eras,
        )


class Daemon:
    def __init__(self, era, revision, call=None, unlinked=()):
        self.documents = SharedDocuments(lambda *_: None)
        self.documents.offer(
            KEY, Document(store_version(era, revision), b'held', 'store')
        )
        self.exchange = DocumentExchange(
            self.documents, call, lambda peer: peer not in unlinked
        )


class TestEras:
    def test_build_without_eras_gets_revisions(self):
        """Guards against versions that such a build can't watch from."""
        daemon = Daemon(era=3, revision=12)
        assert daemon.exchange.revisions()[0].version == 12
        [row] = daemon.exchange.answer(ConfigFetch(keys=(KEY,))).objects
        assert row.version == 12
        answer = daemon.exchange.answer(
            ConfigFetch(keys=(KEY,), knows_eras=True)
        )
        assert answer.has_eras
        assert answer.objects[0].version == store_version(3, 12)

    async def test_revision_of_such_a_build_counts_in_the_held_era(self):
        """Guards against an old build whose news is ignored."""
        peer = Peer(20, knows_eras=False)
        daemon = Daemon(era=3, revision=12, call=peer.call)
        daemon.exchange.learn(
            'p',
            heartbeat(config_versions=(ConfigVersion(KEY, 20, NEWER.digest),)),
        )
        await asyncio.sleep(0.01)
        assert daemon.documents.get(KEY).payload == b'newer'
        assert daemon.documents.revisions[KEY] == store_version(3, 20)

    async def test_document_of_an_earlier_era_is_not_fetched(self):
        """Guards against a late daemon that reverts the others."""
        late = store_version(2, 900)
        peer = Peer(late, knows_eras=True)
        daemon = Daemon(era=3, revision=12, call=peer.call)
        daemon.exchange.learn(
            'p',
            heartbeat(
                config_versions=(ConfigVersion(KEY, 900, NEWER.digest),),
                document_versions=(ConfigVersion(KEY, late, NEWER.digest),),
            ),
        )
        await asyncio.sleep(0.01)
        assert not peer.calls
        assert daemon.documents.get(KEY).payload == b'held'


class TestLaterKeys:
    def test_earlier_builds_do_not_hear_of_them(self):
        """Guards against a build that fails on a document it can't follow."""
        daemon = Daemon(era=0, revision=12)
        daemon.exchange.add_later_key('later')
        daemon.documents.offer('later', Document(13, b'[]', 'store'))
        assert [row.key for row in daemon.exchange.versions()] == [KEY]
        assert [row.key for row in daemon.exchange.revisions()] == [KEY]
        [row] = daemon.exchange.later_versions()
        assert (row.key, row.version) == ('later', 13)

    async def test_are_fetched_only_by_builds_that_know_them(self):
        """Guards against fetches of documents that a later build adds."""
        peer = Peer(version=20, knows_eras=True)
        daemon = Daemon(era=0, revision=12, call=peer.call)
        row = ConfigVersion('later', 20, NEWER.digest)
        daemon.exchange.learn('p', heartbeat(later_versions=(row,)))
        await asyncio.sleep(0)
        assert peer.calls == 0
        daemon.exchange.add_later_key('later')
        daemon.exchange.learn('p', heartbeat(later_versions=(row,)))
        await asyncio.sleep(0)
        assert peer.calls == 1


class TestReadings:
    async def test_ages_belong_to_the_documents_in_their_order(self):
        """Guards against the age of one document that counts for another."""
        sender, daemon = Daemon(era=0, revision=12), Daemon(era=0, revision=12)
        for one in (sender, daemon):
            one.exchange.add_later_key('later')
            one.documents.offer('later', Document(3, b'[]', 'store'))
        sender.exchange.add_later_key('unknown')
        sender.documents.offer('unknown', Document(5, b'[]', 'store'))
        readings = sender.documents.readings
        readings.note('later', readings.now() - 7)
        readings.note('unknown', readings.now())
        message = heartbeat(
            document_versions=sender.exchange.versions(),
            later_versions=tuple(reversed(sender.exchange.later_versions())),
            read_ages_ms=(NEVER_MS, 0, 7_000),
        )
        daemon.exchange.learn('p', message)
        assert daemon.documents.readings.age_s(KEY) == math.inf
        assert 7 <= daemon.documents.readings.age_s('later') < 8
        assert sender.exchange.read_ages_ms()[0] == NEVER_MS
        assert sender.exchange.read_ages_ms()[1] >= 7_000


@pytest.mark.looptime
class TestPeersThatHang:
    """A peer hangs if its link went silent after its last heartbeat."""

    async def learn_from(self, peers, seconds, *, hung):
        asked = []

        async def call(peer, message, timeout_s):
            asked.append(peer)
            if peer in hung:
                await asyncio.sleep(timeout_s)
                raise PeerTimeoutError('no answer')
            row = ConfigObject(KEY, 20, NEWER.packed)
            return ConfigObjects(objects=(row,), has_eras=True)

        daemon = Daemon(era=0, revision=12, call=call)
        row = ConfigVersion(KEY, 20, NEWER.digest)
        for _ in range(round(seconds / 0.1)):
            for peer in peers:
                daemon.exchange.learn(peer, heartbeat(document_versions=(row,)))
            await asyncio.sleep(0.1)
        return daemon, asked

    async def test_one_keeps_no_document_of_the_others_away(self):
        """Guards against a configuration that comes 2 s late."""
        daemon, asked = await self.learn_from(
            ['hung', 'p'], SLOW_FETCH_S + 0.2, hung={'hung'}
        )
        assert daemon.documents.get(KEY).payload == b'newer'
        assert asked == ['hung', 'p']

    async def test_no_more_than_some_are_asked_at_once(self):
        """Guards against a slow link that all peers fill with copies."""
        peers = [f'p{number}' for number in range(20)]
        _, asked = await self.learn_from(
            peers, FETCH_TIMEOUT_S - 0.1, hung=set(peers)
        )
        assert asked == peers[:MAX_FETCHES]

    async def test_all_of_many_are_asked(self):
        """Guards against the same few that are asked again and again."""
        hung = [f'd{number}' for number in range(6)]
        daemon, asked = await self.learn_from(
            [*hung, 'p'], 2 * FETCH_TIMEOUT_S + SLOW_FETCH_S, hung=set(hung)
        )
        assert asked == [*hung, 'p']
        assert daemon.documents.get(KEY).payload == b'newer'


@pytest.mark.looptime
class TestPeersThatCannotBeReached:
    """Such a peer sends heartbeats, and calls to it fail or hang."""

    async def hear_once(self, peers, seconds, *, unreachable=(), hung=()):
        """Return the time (s) at which the document came, or None."""
        came_at = []

        async def call(peer, message, timeout_s):
            if peer in hung:
                await asyncio.sleep(timeout_s)
            if peer in unreachable:
                raise PeerUnreachableError('no link')
            if peer in hung:
                raise PeerTimeoutError('no answer')
            row = ConfigObject(KEY, 20, NEWER.packed)
            return ConfigObjects(objects=(row,), has_eras=True)

        clock = asyncio.get_running_loop().time
        daemon = Daemon(era=0, revision=12, call=call)
        daemon.documents._on_change = lambda *_: came_at.append(clock())
        row = ConfigVersion(KEY, 20, NEWER.digest)
        for peer in peers:
            daemon.exchange.learn(peer, heartbeat(document_versions=(row,)))
        await asyncio.sleep(seconds)
        return next(iter(came_at), None)

    async def test_first_one_without_a_link_hides_no_other(self):
        """Guards against a configuration that a host never gets from peers.

        The peer whose heartbeat came first was asked in each round, in vain.
        """
        assert (
            await self.hear_once(['d0', 'd1'], 0.1, unreachable={'d0'})
        ) == pytest.approx(0, abs=0.01)

    async def test_silent_ones_cost_no_round_of_heartbeats_each(self):
        """Guards against a document that waits for a heartbeat to be asked."""
        came_at = await self.hear_once(['d0', 'd1', 'd2'], 2, hung={'d0', 'd1'})
        assert came_at <= 2 * SLOW_FETCH_S + 0.01

    async def test_one_without_a_link_is_not_asked(self):
        """Guards against log lines about peers that are just being linked."""
        asked = []

        async def call(peer, message, timeout_s):
            asked.append(peer)
            raise PeerUnreachableError('no link')

        daemon = Daemon(era=0, revision=12, call=call, unlinked={'d0'})
        row = ConfigVersion(KEY, 20, NEWER.digest)
        for peer in ('d0', 'd1'):
            daemon.exchange.learn(peer, heartbeat(document_versions=(row,)))
        await asyncio.sleep(0.1)
        assert asked == ['d1']

    async def test_ones_that_all_fail_are_not_asked_in_a_busy_loop(self):
        """Guards against a daemon that does nothing but fail to ask."""
        asked = []

        async def call(peer, message, timeout_s):
            asked.append(peer)
            raise PeerUnreachableError('no link')

        daemon = Daemon(era=0, revision=12, call=call)
        row = ConfigVersion(KEY, 20, NEWER.digest)
        for _ in range(20):
            for peer in ('d0', 'd1'):
                daemon.exchange.learn(peer, heartbeat(document_versions=(row,)))
            await asyncio.sleep(0.1)
        assert asked.count('d0') <= 1 + 2 / FAILED_PAUSE_S
        assert asked.count('d1') <= 1 + 2 / FAILED_PAUSE_S
