"""Versions of objects in a store that may come back from an older copy.

Such a store gives revisions out again. Its era counts how often that happened,
so only era and revision together order what was read. A version holds both in
one number.
"""

_REVISION_BITS = 40
_REVISION_MASK = 2**_REVISION_BITS - 1
# Versions are sent to peers as signed 64-bit numbers.
MAX_ERA = 2 ** (63 - _REVISION_BITS) - 1


def store_version(era: int, revision: int) -> int:
    """Return the version; raise ValueError if a part is out of range."""
    if not (0 <= era <= MAX_ERA and 0 <= revision <= _REVISION_MASK):
        raise ValueError(f'era {era} or revision {revision} is out of range')
    return era << _REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> _REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of a version within its era."""
    return version & _REVISION_MASK
