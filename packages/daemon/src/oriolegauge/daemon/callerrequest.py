"""Authenticate a caller and read the headers of its request."""

import re
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass

from oriolegauge.config import ConfigTree, Team, hash_key
from oriolegauge.config.keys import team_of
from oriolegauge.core.errors import InvalidRequestError, UnauthenticatedError
from oriolegauge.core.priority import Priority

IDEMPOTENCY_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,200}')
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Hold the team, budget, priority and deadline of one request.

    `deadline` is event loop time in seconds; `keyed` means that the caller
    sent an idempotency key.
    """

    request_id: str
    team: str
    budget: str
    priority: Priority
    deadline: float
    keyed: bool
    non_idempotent: bool
    settings: Team


def identify(
    headers: Mapping[str, str],
    *,
    tree: ConfigTree,
    now: float,
    max_request_s: float,
) -> CallerRequest:
    """Authenticate the caller and read the request's headers.

    Raise UnauthenticatedError or InvalidRequestError.
    """
    team_name, settings, budget = _authenticate(headers, tree)
    key = headers.get('Idempotency-Key')
    if key is not None and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise InvalidRequestError(
            'Idempotency-Key must be 1 to 200 printable ASCII characters'
        )
    request_id = (
        f'{team_name}:{key}' if key else f'{team_name}:~{uuid.uuid4().hex}'
    )
    return CallerRequest(
        request_id=request_id,
        team=team_name,
        budget=budget,
        priority=_priority(headers, settings),
        deadline=now + _timeout_s(headers, max_request_s),
        keyed=key is not None,
        non_idempotent=headers.get('X-Non-Idempotent', '') in {'1', 'true'},
        settings=settings,
    )


def _authenticate(
    headers: Mapping[str, str], tree: ConfigTree
) -> tuple[str, Team, str]:
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    team_name = team_of(key) if scheme.lower() == 'bearer' else ''
    settings = tree.team(team_name) if team_name else None
    entry = settings.keys.get(hash_key(key)) if settings else None
    if settings is None or entry is None or entry.expired(time.time()):
        raise UnauthenticatedError('caller key is unknown or expired')
    return team_name, settings, f'{team_name}/{entry.budget}'


def _priority(headers: Mapping[str, str], settings: Team) -> Priority:
    highest = Priority.parse(settings.priority)
    wanted = headers.get('X-Priority')
    if wanted is None:
        return highest
    try:
        return max(highest, Priority.parse(wanted))
    except ValueError as error:
        raise InvalidRequestError(str(error)) from error


def _timeout_s(headers: Mapping[str, str], max_request_s: float) -> float:
    text = headers.get('X-Deadline-Ms')
    if text is None:
        return max_request_s
    if not text.isdigit() or int(text) == 0:
        raise InvalidRequestError('X-Deadline-Ms must be a positive integer')
    return min(max_request_s, int(text) / MS_PER_S)
