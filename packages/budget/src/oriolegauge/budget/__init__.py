"""Prepaid budgets: grants, reservations and settlement."""

from oriolegauge.budget.budgetmanager import BudgetManager
from oriolegauge.budget.budgetpeers import BudgetPeer, BudgetPeers
from oriolegauge.budget.errors import (
    BudgetExhaustedError,
    BudgetPeerError,
    BudgetUnknownError,
    BudgetUnreachableError,
    HolderClosedError,
)
from oriolegauge.budget.reservation import Reservation, Settled
from oriolegauge.budget.shard import apply_top_up, create_budget, shard_key

__all__ = (
    'BudgetExhaustedError',
    'BudgetManager',
    'BudgetPeer',
    'BudgetPeerError',
    'BudgetPeers',
    'BudgetUnknownError',
    'BudgetUnreachableError',
    'HolderClosedError',
    'Reservation',
    'Settled',
    'apply_top_up',
    'create_budget',
    'shard_key',
)
