"""Billed tokens and budget left, as sent with each answer."""

from collections.abc import Sequence
from typing import Any

import orjson

from oriolegauge.budget import Settled

DONE_EVENT = b'data: [DONE]\n\n'


def bill_fields(
    request_id: str, settled: Settled, *, output_cap: int | None = None
) -> dict[str, Any]:
    """Return the bill as JSON fields; counts are tokens.

    `output_cap` are the output tokens left by the budget, if these were fewer
    than requested.
    """
    fields: dict[str, Any] = {
        'request_id': request_id,
        'billed_tokens': settled.billed,
        'budget_left': settled.left,
    }
    if output_cap is not None:
        fields['output_cap_tokens'] = output_cap
    return fields


def bill_headers(
    request_id: str, settled: Settled, *, output_cap: int | None = None
) -> dict[str, str]:
    """Return the bill as headers of an answer that is not streamed."""
    headers = {
        'X-Request-Id': request_id,
        'X-Billed-Tokens': str(settled.billed),
        'X-Budget-Left': str(settled.left),
    }
    if output_cap is not None:
        headers['X-Output-Cap-Tokens'] = str(output_cap)
    return headers


def final_events(
    tail: Sequence[dict[str, Any]],
    bill: dict[str, Any],
    *,
    with_usage: bool,
) -> bytes:
    """Return the last events of a stream with the bill, and the end marker.

    Events without choices are sent only to clients that asked for usage, as
    some clients read the first choice of every event.
    """
    shown = [
        orjson.dumps({**event, 'oriolegauge': bill})
        for event in tail
        if event.get('choices') or with_usage
    ]
    return b''.join(b'data: %b\n\n' % part for part in shown) + DONE_EVENT


def error_event(error: dict[str, Any]) -> bytes:
    """Return the error event of a failed stream, which gets no end marker."""
    return b'data: %b\n\n' % orjson.dumps({'error': error})
