"""Continuation of the ledger when the store comes back from an older copy.

Such a copy has forgotten the last grants, whose tokens may be spent. Daemons
remember the last ledger that they have seen; the newest of these is written
again before anything is granted. Versions order ledgers over restores.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import structlog

from oriolegauge.grants.grantledger import GrantLedger
from oriolegauge.objectstore import era_of, revision_of, store_version

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class LedgerCopy:
    """Hold a ledger and the version at which the store had it."""

    version: int
    ledger: GrantLedger


def is_restored(stored: LedgerCopy, remembered: LedgerCopy | None) -> bool:
    """Return whether the stored ledger was not written in the store's era."""
    era = era_of(stored.version)
    if stored.ledger.era is not None:
        return stored.ledger.era < era
    # Its writer did not record the era.
    return remembered is not None and era_of(remembered.version) < era


def continued(
    stored: LedgerCopy | None,
    remembered: Iterable[LedgerCopy],
    prepaid: Callable[[str], int | None],
    *,
    is_first_start: bool,
) -> GrantLedger:
    """Return the ledger to write in place of the one that is `stored`.

    If no daemon remembers it or a later one, the tokens granted since are not
    known, and all free tokens count as spent. Without any ledger that holds
    unless the fleet starts for the first time.
    """
    newest = max(remembered, key=_version, default=None)
    if stored is None and newest is None:
        if not is_first_start:
            log.error('ledger forgotten, free tokens are forfeited')
        return GrantLedger(is_forfeited=not is_first_start)
    if newest and newest.version >= _written_version(stored):
        log.warning('ledger continued', version=newest.version)
        return replace(
            newest.ledger,
            base_version=newest.version,
            base_used={
                team: newest.ledger.used(team) for team in newest.ledger.names()
            },
        )
    assert stored is not None
    log.error('ledger forgotten, free tokens are forfeited')
    free = {
        team: stored.ledger.free(team, prepaid(team) or 0)
        for team in stored.ledger.names()
    }
    return replace(stored.ledger.charge(free), is_forfeited=True)


def lacks(copy: LedgerCopy, remembered: LedgerCopy) -> bool:
    """Return whether a ledger was continued from an older one than that."""
    is_later_era = era_of(copy.version) > era_of(remembered.version)
    return is_later_era and remembered.version > copy.ledger.base_version


def with_remembered(ledger: GrantLedger, remembered: LedgerCopy) -> GrantLedger:
    """Charge what a daemon remembers beyond the base of the ledger.

    Matters for a daemon that was cut off when the ledger was continued.
    """
    if remembered.version <= ledger.base_version:
        return ledger
    known = remembered.ledger
    used = {team: known.used(team) for team in known.names()}
    missing = {
        team: max(0, tokens - ledger.base_used.get(team, 0))
        for team, tokens in used.items()
    }
    log.warning(
        'ledger lacked remembered grants',
        version=remembered.version,
        base_version=ledger.base_version,
        tokens=missing,
    )
    return replace(
        ledger.charge(missing),
        base_version=remembered.version,
        base_used={
            **ledger.base_used,
            **{
                team: max(tokens, ledger.base_used.get(team, 0))
                for team, tokens in used.items()
            },
        },
    )


def _version(copy: LedgerCopy) -> int:
    return copy.version


def _written_version(stored: LedgerCopy | None) -> int:
    """Return the version at which the stored ledger was written."""
    if stored is None:
        return 0
    return store_version(stored.ledger.era or 0, revision_of(stored.version))
