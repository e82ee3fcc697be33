"""Changes of stored objects by an operator, made by conditional updates.

It matters when operators change the same object at the same time, or when the
answer of the store to a write is lost.
"""

import asyncio
import contextlib
import sys
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from tenacity import (
    AsyncRetrying,
    retry_if_exception_type,
    stop_after_attempt,
    wait_random_exponential,
)

from oriolegauge.cli.errors import ChangeUnknownError, EditConflictError
from oriolegauge.cli.history import add_entry, history_entry, history_key
from oriolegauge.cli.merge import Patch, diff, merge
from oriolegauge.config import (
    ConfigInvalidError,
    Operators,
    Role,
    hash_key,
    parse_subtree,
)
from oriolegauge.config.announcement import ANNOUNCEMENT_KEY, announce
from oriolegauge.config.configtree import OPERATORS_KEY
from oriolegauge.config.subtrees import MAX_CHANGES
from oriolegauge.core.errors import ForbiddenError, NotFoundError
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreError,
    StoreRateLimitError,
    VersionConflictError,
)

MAX_WRITE_ATTEMPTS = 10
MAX_CALL_ATTEMPTS = 6
MAX_RETRY_DELAY_S = 1.0

_Value = Mapping[str, Any]
_Result = TypeVar('_Result')


def _accept_any_value(current: _Value) -> None:
    """Accept every current value."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Describe a change of a subtree, relative to the value that was read.

    `guard` raises an error if the change must not be made to a current value.
    """

    key: str
    patch: Patch
    guard: Callable[[_Value], None] = _accept_any_value


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """Describe a change of a budget in its shard.

    `change` returns the new value of the shard for the current one, and
    `is_applied` states whether a value holds the change already.
    """

    key: str
    change: Callable[[_Value], dict[str, Any]]
    is_applied: Callable[[_Value], bool]
    budget: str
    change_id: str


class Operator:
    """Change stored objects without losing concurrent changes of others."""

    def __init__(
        self,
        store: ObjectStore,
        *,
        author: str,
        token: str = '',
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Record `author` in the history; `clock` returns Unix seconds."""
        self._store = store
        self._author = author
        self._token = token
        self._clock = clock

    async def read(self, key: str) -> StoredObject:
        """Return an object, or an empty one of version 0 if there is none."""
        found = await self._call_store(lambda: self._store.get(key))
        return found or StoredObject(key, 0, {})

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix."""
        return await self._call_store(lambda: self._store.list_objects(prefix))

    async def change(
        self,
        key: str,
        change: Callable[[dict[str, Any]], dict[str, Any]],
        *,
        guard: Callable[[_Value], None] = _accept_any_value,
    ) -> StoredObject:
        """Change a subtree of the configuration by a function of its value."""
        seen = await self.read(key)
        guard(seen.value)
        base = editable_part(seen.value)
        return await self.edit(
            Edit(key=key, patch=diff(base, change(dict(base))), guard=guard),
            seen,
        )

    async def edit(self, edit: Edit, seen: StoredObject) -> StoredObject:
        """Write an edit and keep later changes of other paths by others.

        Raise EditConflictError if another operator changed the same path, and
        ConfigInvalidError if the result is invalid.
        """
        if not edit.patch:
            return seen
        return await self._edit(edit, seen)

    async def republish(self, key: str) -> StoredObject:
        """Write a subtree again without a change, to raise its version.

        After a backup of the store was restored, daemons ignore its objects
        until their versions are higher than those that the daemons hold.
        """
        seen = await self.read(key)
        if seen.version == 0:
            raise NotFoundError(f'no {key}')
        return await self._edit(Edit(key=key, patch=()), seen)

    async def _edit(self, edit: Edit, seen: StoredObject) -> StoredObject:
        await self.check_rights(edit.key)
        change = {
            'id': uuid.uuid4().hex,
            'author': self._author,
            'at_unix_s': int(self._clock()),
        }
        stored = await self._put_edit(edit, change, seen)
        await self._announce(stored)
        await self._record_history(
            edit.key, history_entry(change, edit.patch, stored.version), stored
        )
        return stored

    async def update(self, update: Update) -> StoredObject:
        """Write a change of a budget to its shard and to the history."""
        await self.check_rights(update.key)
        current = await self.read(update.key)
        patch: Patch | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            if update.is_applied(current.value):
                if patch is not None:
                    await self._record_update(update, patch, current)
                return current
            target = update.change(current.value)
            patch = _budget_patch(update.budget, current.value, target)
            stored = await self._try_put(current, target)
            if stored is not None:
                await self._record_update(update, patch, stored)
                return stored
            current = await self._read_back(update.key, update.change_id)
        raise EditConflictError(
            f'{update.key}: gave up after repeated concurrent changes'
        )

    async def check_rights(self, key: str, role: Role = Role.OPERATE) -> None:
        """Raise ForbiddenError if the token may not change the object.

        The tool checks this itself, which guards only against mistakes: the
        platform controls the access to the store.
        """
        found = await self.read(OPERATORS_KEY)
        operators = parse_subtree(OPERATORS_KEY, found.value)
        assert isinstance(operators, Operators)
        needed = Role.ADMIN if key == OPERATORS_KEY else role
        if not operators.permits(
            hash_key(self._token),
            role=needed,
            unix_s=self._clock(),
            key=key,
        ):
            raise ForbiddenError(f'the token may not change {key}')

    async def _put_edit(
        self, edit: Edit, change: dict[str, Any], seen: StoredObject
    ) -> StoredObject:
        current = seen
        for _ in range(MAX_WRITE_ATTEMPTS):
            if _holds_change(current.value, change['id']):
                return current
            target = _merged_value(edit, change, current, seen)
            stored = await self._try_put(current, target)
            if stored is not None:
                return stored
            current = await self._read_back(edit.key, change['id'])
        raise EditConflictError(
            f'{edit.key}: gave up after repeated concurrent changes'
        )

    async def _try_put(
        self, current: StoredObject, target: dict[str, Any]
    ) -> StoredObject | None:
        """Return None after a conflict or a lost answer.

        The object must then be read back to know the outcome.
        """
        try:
            return await self._call_store(
                lambda: self._store.put(current.key, target, current.version)
            )
        except (VersionConflictError, StoreAnswerLostError):
            return None

    async def _read_back(self, key: str, change_id: str) -> StoredObject:
        try:
            return await _retry(StoreError, lambda: self.read(key))
        except StoreError as error:
            raise ChangeUnknownError(
                f'{key}: store unavailable; it is unknown whether change '
                f'{change_id} was applied: {error.message}'
            ) from error

    async def _call_store(
        self, call: Callable[[], Awaitable[_Result]]
    ) -> _Result:
        return await _retry(StoreRateLimitError, call)

    async def _announce(self, stored: StoredObject) -> None:
        """Announce the change to daemons whose watch lost its connection.

        They learn of it when they next probe the announcement. A failure here
        is ignored, since they also find the change by their next poll.
        """
        with contextlib.suppress(StoreError):
            for _ in range(MAX_WRITE_ATTEMPTS):
                current = await self.read(ANNOUNCEMENT_KEY)
                target = announce(current.value, stored.key, stored.version)
                if await self._try_put(current, target) is not None:
                    return

    async def _record_update(
        self, update: Update, patch: Patch, stored: StoredObject
    ) -> None:
        entry = history_entry(
            {
                'id': update.change_id,
                'author': self._author,
                'at_unix_s': int(self._clock()),
            },
            patch,
            stored.version,
        )
        await self._record_history(f'budgets/{update.budget}', entry, stored)

    async def _record_history(
        self, key: str, entry: dict[str, Any], stored: StoredObject
    ) -> None:
        """Write the history; a failure is only a warning.

        The change itself is already applied.
        """
        try:
            await self._write_history(key, entry, stored)
        except StoreError as error:
            sys.stderr.write(
                f'warning: {key} was changed, but its history was not '
                f'written: {error.message}\n'
            )

    async def _write_history(
        self, key: str, entry: dict[str, Any], stored: StoredObject
    ) -> None:
        for _ in range(MAX_WRITE_ATTEMPTS):
            current = await self.read(history_key(key))
            target = add_entry(current.value, entry, stored)
            if await self._try_put(current, target) is not None:
                return


async def _retry(
    failure: type[StoreError], call: Callable[[], Awaitable[_Result]]
) -> _Result:
    async for attempt in AsyncRetrying(
        stop=stop_after_attempt(MAX_CALL_ATTEMPTS),
        wait=wait_random_exponential(multiplier=0.1, max=MAX_RETRY_DELAY_S),
        retry=retry_if_exception_type(failure),
        sleep=asyncio.sleep,
        reraise=True,
    ):
        with attempt:
            return await call()
    raise AssertionError('retries ended without a result or an error')


def editable_part(value: _Value) -> dict[str, Any]:
    """Return a subtree without the list of changes, which the tool keeps."""
    return {name: part for name, part in value.items() if name != 'changes'}


def _budget_patch(name: str, before: _Value, after: _Value) -> Patch:
    old, new = (
        shard.get('budgets', {}).get(name, {}) for shard in (before, after)
    )
    return diff(old, new)


def _holds_change(value: _Value, change_id: str) -> bool:
    return any(row['id'] == change_id for row in value.get('changes', []))


def _merged_value(
    edit: Edit,
    change: dict[str, Any],
    current: StoredObject,
    seen: StoredObject,
) -> dict[str, Any]:
    edit.guard(current.value)
    merged = merge(editable_part(current.value), edit.patch)
    changes = [*current.value.get('changes', []), change][-MAX_CHANGES:]
    target = {**merged, 'changes': changes}
    try:
        parse_subtree(edit.key, target)
    except ConfigInvalidError as error:
        if current.version == seen.version:
            raise
        raise EditConflictError(
            f'invalid after a change by another operator: {error.message}'
        ) from error
    return target
