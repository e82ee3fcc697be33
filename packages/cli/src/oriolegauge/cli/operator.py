"""Conditional updates of the store on behalf of an operator."""

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
from oriolegauge.cli.history import add_entry, entry_of, history_key
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

MAX_ATTEMPTS = 10
RETRY_ATTEMPTS = 6
MAX_PAUSE_S = 1.0

_Value = Mapping[str, Any]
_Answer = TypeVar('_Answer')


def _anything(current: _Value) -> None:
    """Accept any current value."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Change one subtree from the value that the operator saw.

    `guard` raises an error if the edit makes no sense on a current value.
    """

    key: str
    patch: Patch
    guard: Callable[[_Value], None] = _anything


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """Change any object by a function; `done` recognises the change."""

    key: str
    change: Callable[[_Value], dict[str, Any]]
    done: Callable[[_Value], bool]
    name: str
    change_id: str


class Operator:
    """Change store objects so that racing operators lose no change."""

    def __init__(
        self,
        store: ObjectStore,
        *,
        author: str,
        token: str = '',
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Act as `author`; `clock` gives Unix time in seconds."""
        self._store = store
        self._author = author
        self._token = token
        self._clock = clock

    async def read(self, key: str) -> StoredObject:
        """Return an object; version 0 and no members if there is none."""
        found = await self._call(lambda: self._store.get(key))
        return found or StoredObject(key, 0, {})

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix."""
        return await self._call(lambda: self._store.list_objects(prefix))

    async def change(
        self,
        key: str,
        change: Callable[[dict[str, Any]], dict[str, Any]],
        *,
        guard: Callable[[_Value], None] = _anything,
    ) -> StoredObject:
        """Change a subtree of the configuration by a function of its value."""
        seen = await self.read(key)
        guard(seen.value)
        base = editable(seen.value)
        return await self.edit(
            Edit(key=key, patch=diff(base, change(dict(base))), guard=guard),
            seen,
        )

    async def edit(self, edit: Edit, seen: StoredObject) -> StoredObject:
        """Put an edit in the store; later changes of other places are kept.

        Raise EditConflictError if someone changed the same place, and
        ConfigInvalidError if the result does not validate.
        """
        if not edit.patch:
            return seen
        return await self._edit(edit, seen)

    async def republish(self, key: str) -> StoredObject:
        """Put a subtree again as it is, after a backup was restored."""
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
        await self._record(
            edit.key, entry_of(change, edit.patch, stored.version), stored
        )
        return stored

    async def update(self, update: Update) -> StoredObject:
        """Put a change of a budget shard in the store and in the history."""
        await self.check_rights(update.key)
        current = await self.read(update.key)
        patch: Patch | None = None
        for _ in range(MAX_ATTEMPTS):
            if update.done(current.value):
                if patch is not None:
                    await self._record_update(update, patch, current)
                return current
            target = update.change(current.value)
            patch = _budget_patch(update.name, current.value, target)
            stored = await self._try_put(current, target)
            if stored is not None:
                await self._record_update(update, patch, stored)
                return stored
            current = await self._resolve(update.key, update.change_id)
        raise EditConflictError(f'{update.key} keeps changing')

    async def check_rights(self, key: str, role: Role = Role.OPERATE) -> None:
        """Raise ForbiddenError if the token may not change the object.

        This guards against mistakes; access to the store itself is the
        platform's to control.
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
        for _ in range(MAX_ATTEMPTS):
            if _holds_change(current.value, change['id']):
                return current
            target = _changed(edit, change, current, seen)
            stored = await self._try_put(current, target)
            if stored is not None:
                return stored
            current = await self._resolve(edit.key, change['id'])
        raise EditConflictError(f'{edit.key} keeps changing')

    async def _try_put(
        self, current: StoredObject, target: dict[str, Any]
    ) -> StoredObject | None:
        """Return None if the object has to be read to know the outcome."""
        try:
            return await self._call(
                lambda: self._store.put(current.key, target, current.version)
            )
        except (VersionConflictError, StoreAnswerLostError):
            return None

    async def _resolve(self, key: str, change_id: str) -> StoredObject:
        try:
            return await _retry(StoreError, lambda: self.read(key))
        except StoreError as error:
            raise ChangeUnknownError(
                f'{key}: the store went away; it is unknown whether change '
                f'{change_id} was applied: {error.message}'
            ) from error

    async def _call(self, call: Callable[[], Awaitable[_Answer]]) -> _Answer:
        return await _retry(StoreRateLimitError, call)

    async def _announce(self, stored: StoredObject) -> None:
        """Name the change for watchers whose watch died silently.

        Without it they find the change by their next poll, so a failure of
        the store here does not matter.
        """
        with contextlib.suppress(StoreError):
            for _ in range(MAX_ATTEMPTS):
                current = await self.read(ANNOUNCEMENT_KEY)
                target = announce(current.value, stored.key, stored.version)
                if await self._try_put(current, target) is not None:
                    return

    async def _record_update(
        self, update: Update, patch: Patch, stored: StoredObject
    ) -> None:
        entry = entry_of(
            {
                'id': update.change_id,
                'author': self._author,
                'at_unix_s': int(self._clock()),
            },
            patch,
            stored.version,
        )
        await self._record(f'budgets/{update.name}', entry, stored)

    async def _record(
        self, key: str, entry: dict[str, Any], stored: StoredObject
    ) -> None:
        """Write the history; its failure does not undo the change."""
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
        for _ in range(MAX_ATTEMPTS):
            current = await self.read(history_key(key))
            target = add_entry(current.value, entry, stored)
            if await self._try_put(current, target) is not None:
                return


async def _retry(
    failure: type[StoreError], call: Callable[[], Awaitable[_Answer]]
) -> _Answer:
    async for attempt in AsyncRetrying(
        stop=stop_after_attempt(RETRY_ATTEMPTS),
        wait=wait_random_exponential(multiplier=0.1, max=MAX_PAUSE_S),
        retry=retry_if_exception_type(failure),
        sleep=asyncio.sleep,
        reraise=True,
    ):
        with attempt:
            return await call()
    raise AssertionError('retries end with a result or an error')


def editable(value: _Value) -> dict[str, Any]:
    """Return a subtree without the list of changes that the tool keeps."""
    return {name: part for name, part in value.items() if name != 'changes'}


def _budget_patch(name: str, before: _Value, after: _Value) -> Patch:
    old, new = (
        shard.get('budgets', {}).get(name, {}) for shard in (before, after)
    )
    return diff(old, new)


def _holds_change(value: _Value, change_id: str) -> bool:
    return any(row['id'] == change_id for row in value.get('changes', []))


def _changed(
    edit: Edit,
    change: dict[str, Any],
    current: StoredObject,
    seen: StoredObject,
) -> dict[str, Any]:
    edit.guard(current.value)
    merged = merge(editable(current.value), edit.patch)
    changes = [*current.value.get('changes', []), change][-MAX_CHANGES:]
    target = {**merged, 'changes': changes}
    try:
        parse_subtree(edit.key, target)
    except ConfigInvalidError as error:
        if current.version == seen.version:
            raise
        raise EditConflictError(
            f'does not fit a change by someone else: {error.message}'
        ) from error
    return target
