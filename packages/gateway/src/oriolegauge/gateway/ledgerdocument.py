"""Copies of the ledger of grants in messages to peers."""

import orjson

from oriolegauge.gateway.shareddocuments import DamagedDocumentError, Document
from oriolegauge.grants import GrantLedger, LedgerCopy

LEDGER_DOCUMENT = 'grants/ledger'
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def ledger_document(copy: LedgerCopy) -> Document:
    """Return the ledger as a document."""
    payload = orjson.dumps(copy.ledger.to_value())
    return Document(copy.version, payload, LEDGER_DOCUMENT)


def ledger_copy(version: int, packed: bytes) -> LedgerCopy:
    """Read a ledger from a peer; raise DamagedDocumentError."""
    document = Document.unpack(version, packed, LEDGER_DOCUMENT)
    try:
        value = orjson.loads(document.payload)
        return LedgerCopy(version, GrantLedger.from_value(value))
    except _MALFORMED_ERRORS as error:
        raise DamagedDocumentError(f'not a ledger: {error!r}') from error
