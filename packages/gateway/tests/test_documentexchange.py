"""Documents between daemons, also of builds that know no eras."""

import asyncio

import pytest

from oriolegauge.gateway.documentexchange import (
    FETCH_TIMEOUT_S,
    MAX_FETCHES,
    SLOW_FETCH_S,
    DocumentExchange,
)
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.objectstore import store_version
from oriolegauge.wire import PeerTimeoutError
from oriolegauge.wire.messages import (
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
    def __init__(self, era, revision, call=None):
        self.documents = SharedDocuments(lambda *_: None)
        self.documents.offer(
            KEY, Document(store_version(era, revision), b'held', 'store')
        )
        self.exchange = DocumentExchange(self.documents, call)


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
