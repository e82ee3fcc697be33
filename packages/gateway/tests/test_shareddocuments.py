"""Documents that all daemons share."""

import random
import zlib

import pytest

from oriolegauge.gateway.documentexchange import FETCH_TIMEOUT_S
from oriolegauge.gateway.shareddocuments import (
    MAX_DOCUMENT_BYTES,
    DamagedDocumentError,
    Document,
    SharedDocuments,
)


class TestSharedDocuments:
    def test_older_revision_is_ignored(self):
        """Guards against a configuration that reverts."""
        taken = []
        documents = SharedDocuments(lambda _, found: taken.append(found))
        assert documents.offer('config', Document(5, b'new', 'store'))
        assert not documents.offer('config', Document(4, b'old', 'peer'))
        assert not documents.offer('config', Document(5, b'other', 'peer'))
        assert [found.payload for found in taken] == [b'new']

    def test_new_revision_of_same_content_is_no_change(self):
        """Guards against reloading at each revision of the store."""
        taken = []
        documents = SharedDocuments(lambda *found: taken.append(found))
        documents.offer('config', Document(5, b'same', 'store'))
        documents.offer('config', Document(9, b'same', 'store'))
        assert len(taken) == 1
        assert documents.revisions == {'config': 9}

    def test_known_content_is_not_fetched_again(self):
        """Guards against a fetch by each peer at each revision of the store.

        A large fleet made 388 fetches of 49 KB before the first request, and
        fetches of 300 KB always timed out.
        """
        documents = SharedDocuments(lambda *_: None)
        held = Document(5, b'same', 'store')
        documents.offer('config', held)
        documents.advance_revision('config', 9, held.digest)
        assert not documents.is_newer('config', 9)
        assert documents.get('config').payload == b'same'

    def test_other_content_is_fetched(self):
        """Guards against a revision that is noted without its content."""
        documents = SharedDocuments(lambda *_: None)
        documents.offer('config', Document(5, b'old', 'store'))
        documents.advance_revision(
            'config', 9, Document(9, b'new', 'store').digest
        )
        assert documents.is_newer('config', 9)


class TestDocument:
    def test_large_configuration_fits_a_slow_link(self):
        """Guards against configurations that no peer receives in time."""
        routes = b''.join(
            b'{"name":"%08x","host":"miti46.example","pathPrefix":"/r%04x/",'
            b'"kind":"idempotent","timeoutMs":600,"goalMs":120},'
            % (
                random.getrandbits(32),
                number,
            )
            for number in range(1_400)
        )
        document = Document(5, routes, 'store')
        bytes_per_s = 5_000_000 / 8
        assert 10 * len(document.packed) / bytes_per_s < FETCH_TIMEOUT_S
        unpacked = Document.unpack(5, document.packed, 'peer')
        assert unpacked.payload == routes

    @pytest.mark.parametrize('damage', [b'', b'no deflate', 'cut', 'bomb'])
    def test_damaged_bytes_are_refused(self, damage):
        """Guards against a daemon that fails on invalid bytes of a peer."""
        if damage == 'cut':
            damage = Document(1, b'text' * 100, 'store').packed[:-3]
        if damage == 'bomb':
            damage = zlib.compress(bytes(MAX_DOCUMENT_BYTES + 1))
        with pytest.raises(DamagedDocumentError):
            Document.unpack(1, damage, 'peer')


def content_version(key, document):
    """Return the number in the payload, None if there is none."""
    return int(document.payload) if document.payload.isdigit() else None


class TestRankedDocuments:
    def test_older_content_at_a_newer_revision_is_refused(self):
        """Guards against a confirmed version that a restored store reverts."""
        taken = []
        documents = SharedDocuments(
            lambda _, found: taken.append(found.payload), content_version
        )
        documents.offer('config', Document(5, b'7', 'store'))
        assert not documents.offer('config', Document(9, b'6', 'store'))
        assert documents.get('config').payload == b'7'
        assert documents.revisions['config'] == 9
        assert documents.offer('config', Document(9, b'8', 'peer'))
        assert taken == [b'7', b'8']

    def test_newer_content_of_a_peer_at_the_same_revision_is_wanted(self):
        """Guards against a new process that keeps the older copy."""
        documents = SharedDocuments(lambda *_: None, content_version)
        documents.offer('config', Document(9, b'6', 'store'))
        newer, older = Document(9, b'7', 'peer'), Document(9, b'5', 'peer')
        assert documents.is_wanted('config', 9, newer.digest)
        assert documents.is_wanted('config', 9, older.digest)
        assert not documents.offer('config', older)
        assert not documents.is_wanted('config', 9, older.digest)
        assert documents.offer('config', newer)

    def test_invalid_content_is_refused(self):
        """Guards against a faulty document that replaces a valid one."""
        documents = SharedDocuments(lambda *_: None, content_version)
        assert not documents.offer('config', Document(4, b'bad', 'store'))
        documents.offer('config', Document(5, b'7', 'store'))
        assert not documents.offer('config', Document(9, b'bad', 'store'))
        assert documents.get('config').payload == b'7'
