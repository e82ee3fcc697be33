"""Replay of answers to retries, and at-most-once dispatch by intents."""

from oriolegauge.ledger.answerrecord import AnswerRecord, RecordState
from oriolegauge.ledger.errors import (
    AnswerExpiredError,
    ClaimRefusedError,
    IntentLogFullError,
    KeyReusedError,
)
from oriolegauge.ledger.intentlog import IntentLog, NotRun, Ran, Unresolved
from oriolegauge.ledger.intents import AlreadyClaimed, Claimed, IntentStatus
from oriolegauge.ledger.requestledger import (
    Joined,
    Opened,
    Replayed,
    RequestLedger,
)

__all__ = (
    'AlreadyClaimed',
    'AnswerExpiredError',
    'AnswerRecord',
    'ClaimRefusedError',
    'Claimed',
    'IntentLog',
    'IntentLogFullError',
    'IntentStatus',
    'Joined',
    'KeyReusedError',
    'NotRun',
    'Opened',
    'Ran',
    'RecordState',
    'Replayed',
    'RequestLedger',
    'Unresolved',
)
