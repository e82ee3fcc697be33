"""Fingerprints of a request by which it is recognized when it comes again."""

from collections.abc import Iterable

import xxhash

from oriolegauge.forwarding.requestcontext import RequestContext
from oriolegauge.routing.crashsuspects import REQUEST_PREFIX
from oriolegauge.routing.work import PromptPart

# A longer name of a prompt part is replaced by its hash.
MAX_PART_NAME_CHARS = 40


def fingerprints(context: RequestContext) -> frozenset[str]:
    """Return those of the whole request and of its shared prompt parts."""
    request = context.request
    content = xxhash.xxh3_64()
    for field in (
        request.method,
        request.target,
        (context.workspace or '').encode(),
        request.body,
    ):
        content.update(b'%d:' % len(field))
        content.update(field)
    parts = map(_part_fingerprint, context.work.shared_parts)
    return frozenset((f'{REQUEST_PREFIX}{content.hexdigest()}', *parts))


def request_fingerprints(names: Iterable[str]) -> frozenset[str]:
    """Return those that are of whole requests."""
    return frozenset(name for name in names if name.startswith(REQUEST_PREFIX))


def _part_fingerprint(part: PromptPart) -> str:
    if len(part.name) <= MAX_PART_NAME_CHARS:
        return f'part:{part.name}'
    return f'part#{xxhash.xxh3_64_hexdigest(part.name)}'
