"""Rules of a stateful test that inject faults into several budget managers."""

import asyncio
from contextlib import suppress

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    precondition,
    rule,
)

from oriolegauge.budget import (
    apply_top_up,
    create_budget,
)
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.testkit import (
    StoreFault,
)

from .budgetfleet import BUDGETS, NAMES, BudgetFleet


class BudgetMachine(BudgetFleet):
    """Daemons that reserve and settle while store, links and daemons fail."""

    @initialize(prepaid=st.lists(st.integers(0, 3000), min_size=2, max_size=2))
    def begin(self, prepaid):
        for name, tokens in zip(BUDGETS, prepaid, strict=True):
            self.edit(
                name, lambda old, n=name, t=tokens: create_budget(old, n, t)
            )
            self.prepaid[name] = tokens
        for name in NAMES:
            self.start(name)

    @rule(
        name=st.sampled_from(NAMES),
        budget=st.sampled_from(BUDGETS),
        tokens=st.integers(1, 600),
        share=st.sampled_from((0.1, 1)),
        key=st.one_of(st.none(), st.integers(0, 5)),
        wait=st.sampled_from((0, 0, 0.004, 0.4)),
    )
    def reserve(self, name, budget, tokens, share, key, wait):
        daemon = self.daemons.get(name)
        if daemon is None:
            return
        if key is None:
            self.requests += 1
            request_id = f'u{self.requests}'
        else:
            request_id, tokens = f'k{key}', 100 + key
        minimum = tokens if key is not None else max(1, int(tokens * share))
        self.spawn(
            self.reserve_async(daemon, budget, request_id, tokens, minimum)
        )
        self.run(wait)

    async def reserve_async(self, daemon, budget, request_id, tokens, minimum):
        with suppress(OriolegaugeError):
            reservation = await daemon.manager.reserve(
                budget=budget,
                request_id=request_id,
                tokens=tokens,
                minimum=minimum,
                deadline=self.loop.time() + 1,
            )
            assert minimum <= reservation.tokens <= tokens
            daemon.open.append(reservation)
            return reservation

    @rule(
        name=st.sampled_from(NAMES),
        pick=st.integers(0, 9),
        share=st.sampled_from((1, 1, 0.5, 0)),
        wait=st.sampled_from((0, 0.004, 0.4)),
    )
    def settle(self, name, pick, share, wait):
        daemon = self.daemons.get(name)
        if daemon is None or not daemon.open:
            return
        reservation = daemon.open.pop(pick % len(daemon.open))
        is_keyed = reservation.request_id.startswith('k')
        tokens = reservation.tokens
        if not is_keyed:
            tokens = int(tokens * share)
        self.spent[reservation.budget][reservation.request_id] = tokens
        self.spawn(self.settle_async(daemon, reservation, tokens, is_keyed))
        self.run(wait)

    async def settle_async(self, daemon, reservation, tokens, is_keyed):
        await daemon.manager.settle(reservation, tokens, keyed=is_keyed)
        # A daemon that was killed meanwhile did not deliver its answer.
        if daemon not in self.killed:
            delivered = self.delivered[reservation.budget]
            delivered[reservation.request_id] = tokens

    @rule(name=st.sampled_from(NAMES), pick=st.integers(0, 9))
    def release(self, name, pick):
        daemon = self.daemons.get(name)
        if daemon is not None and daemon.open:
            reservation = daemon.open.pop(pick % len(daemon.open))
            self.loop.call_soon(daemon.manager.release, reservation)
            self.run(0)

    @rule(
        name=st.sampled_from(NAMES),
        budget=st.sampled_from(BUDGETS),
        tokens=st.integers(1, 300),
        count=st.integers(1, 8),
        wait=st.sampled_from((0, 0.004, 0.4)),
    )
    def serve(self, name, budget, tokens, count, wait):
        daemon = self.daemons.get(name)
        for _ in range(count if daemon else 0):
            self.requests += 1
            self.spawn(
                self.reserve_and_settle(
                    daemon, budget, f'u{self.requests}', tokens
                )
            )
        self.run(wait)

    async def reserve_and_settle(self, daemon, budget, request_id, tokens):
        reservation = await self.reserve_async(
            daemon, budget, request_id, tokens, 1
        )
        if reservation is not None:
            daemon.open.remove(reservation)
            await asyncio.sleep(0.002)
            self.spent[budget][request_id] = reservation.tokens
            await self.settle_async(
                daemon, reservation, reservation.tokens, False
            )

    @rule(name=st.sampled_from(NAMES), wait=st.sampled_from((0, 0.004, 0.4)))
    def flush(self, name, wait):
        if name in self.daemons:
            self.spawn(self.quietly(self.daemons[name].manager.flush()))
            self.run(wait)

    @rule(wait=st.sampled_from((0.001, 0.01, 0.3, 3, 1000)))
    def advance(self, wait):
        self.run(wait)

    @rule(budget=st.sampled_from(BUDGETS), tokens=st.integers(1, 1000))
    def top_up(self, budget, tokens):
        self.requests += 1
        top_up_id = f't{self.requests}'
        for _ in range(2):
            self.edit(
                budget, lambda old: apply_top_up(old, budget, top_up_id, tokens)
            )
        self.prepaid[budget] += tokens

    @rule(
        fault=st.sampled_from((*StoreFault, StoreFault.NONE)),
        count=st.integers(1, 3),
    )
    def fail_puts(self, fault, count):
        self.store.next_faults = [fault] * count

    @rule(fault=st.sampled_from((StoreFault.NONE, StoreFault.OUTAGE)))
    def switch_store(self, fault):
        self.store.fault = fault

    @rule(name=st.sampled_from(NAMES), is_cut=st.booleans())
    def cut_store(self, name, is_cut):
        if name in self.daemons:
            self.daemons[name].client.is_cut = is_cut

    @rule(share=st.sampled_from((0, 0.3)))
    def lose_answers(self, share):
        for daemon in self.daemons.values():
            daemon.client.loss = share

    @rule(loss=st.sampled_from((0, 0.2)), repeat=st.sampled_from((0, 0.5)))
    def disturb_links(self, loss, repeat):
        self.network.loss = loss
        self.network.repeat = repeat

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def cut_link(self, one, other):
        self.network.cut(one, other)

    @rule()
    def heal(self):
        self.network.heal()
        self.store.fault = StoreFault.NONE
        self.store.next_faults = []
        for daemon in (*self.daemons.values(), *self.suspended.values()):
            daemon.client.is_cut = False
            daemon.client.loss = 0

    @precondition(lambda self: len(self.daemons) > 1)
    @rule(name=st.sampled_from(NAMES), is_replaced=st.booleans())
    def kill(self, name, is_replaced):
        daemon = self.daemons.pop(name, None)
        if daemon is None:
            return
        self.network.leave(name)
        daemon.suspend()
        self.killed.append(daemon)
        for killed in self.killed:
            self.note_unrecoverable(killed)
        if is_replaced:
            self.start(name)

    @precondition(lambda self: self.killed)
    @rule(pick=st.integers(0, 9), wait=st.sampled_from((0, 0.4)))
    def report_crash(self, pick, wait):
        holder = self.killed[pick % len(self.killed)].holder
        for daemon in self.daemons.values():
            self.spawn(
                self.quietly(daemon.manager.close_process_holders(holder))
            )
        self.run(wait)

    @precondition(lambda self: len(self.daemons) > 1)
    @rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        daemon = self.daemons.pop(name, None)
        if daemon is not None:
            daemon.suspend()
            self.network.pause(name)
            self.suspended[name] = daemon

    @precondition(lambda self: self.suspended)
    @rule(is_closed=st.booleans())
    def resume(self, is_closed):
        name, daemon = self.suspended.popitem()
        if is_closed:
            self.was_closed_alive = True
            for other in self.daemons.values():
                self.spawn(
                    self.quietly(
                        other.manager.close_process_holders(daemon.holder)
                    )
                )
            self.run(2)
        daemon.continue_running()
        self.network.resume(name)
        self.daemons[name] = daemon

    @rule(name=st.sampled_from(NAMES))
    def start_again(self, name):
        if name not in self.daemons and name not in self.suspended:
            self.start(name)
