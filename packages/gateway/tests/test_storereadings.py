"""Age of what a daemon knows of the store."""

import math

from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.gateway.storereadings import MAX_AHEAD
from oriolegauge.wire.messages import ConfigVersion

KIND = 'config'


class Daemon:
    def __init__(self):
        self.now = 100.0
        self.documents = SharedDocuments(
            lambda *_: None, clock=lambda: self.now
        )
        self.readings = self.documents.readings
        self.hold(5, b'held')

    def hold(self, revision, payload):
        self.documents.offer(KIND, Document(revision, payload, 'store'))

    def hear(self, age_s, revision, payload):
        digest = Document(revision, payload, 'p').digest
        self.readings.learn(
            ConfigVersion(KIND, revision, digest), int(age_s * 1_000)
        )

    @property
    def age_s(self):
        return self.readings.age_s(KIND)


class TestStoreReadings:
    def test_held_document_is_as_young_as_the_newest_reading_of_it(self):
        """Guards against calls of a store that a peer has just read."""
        daemon = Daemon()
        assert daemon.age_s == math.inf
        daemon.hear(2, 5, b'held')
        daemon.hear(0.5, 5, b'held')
        daemon.hear(3, 5, b'held')
        daemon.now += 1
        assert daemon.age_s == 1.5
        assert list(daemon.readings.ages_ms([KIND])) == [1_500]

    def test_reading_of_a_newer_document_counts_once_that_is_held(self):
        """Guards against a daemon that is behind and takes itself for current.

        It told its peers so, and none of them read the store.
        """
        daemon = Daemon()
        daemon.readings.note(KIND, daemon.now - 2)
        daemon.hear(0, 8, b'newer')
        assert daemon.age_s == 2
        daemon.now += 1
        daemon.hold(8, b'newer')
        assert daemon.age_s == 1

    def test_reading_of_an_older_document_does_not_count(self):
        """Guards against a peer that is behind and tells of a young age."""
        daemon = Daemon()
        daemon.readings.note(KIND, daemon.now - 2)
        daemon.hear(0, 4, b'older')
        assert daemon.age_s == 2

    def test_reading_of_the_future_does_not_count(self):
        """Guards against a message that keeps a daemon from the store."""
        daemon = Daemon()
        daemon.hear(-60, 5, b'held')
        assert daemon.age_s == math.inf

    def test_document_that_was_never_read_has_no_age(self):
        """Guards against peers that trust what nobody has confirmed."""
        daemon = Daemon()
        [age_ms] = daemon.readings.ages_ms([KIND])
        daemon.hear(age_ms / 1_000, 5, b'held')
        assert daemon.age_s == math.inf

    def test_readings_of_versions_that_never_come_are_bounded(self):
        """Guards against memory that a peer fills with versions."""
        daemon = Daemon()
        for revision in range(10, 1_000):
            daemon.hear(0, revision, b'%d' % revision)
        assert len(daemon.readings._ahead[KIND]) <= MAX_AHEAD
