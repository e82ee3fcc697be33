"""Prepaid budgets: grants, reservations and settlement."""

from oriolegauge.budget.budgetmanager import BudgetManager
from oriolegauge.budget.errors import (
    BudgetExhaustedError,
    BudgetUnknownError,
    HolderClosedError,
)
from oriolegauge.budget.reservation import Reservation, Settled
from oriolegauge.budget.shard import create_budget, shard_key, top_up

__all__ = (
    'BudgetExhaustedError',
    'BudgetManager',
    'BudgetUnknownError',
    'HolderClosedError',
    'Reservation',
    'Settled',
    'create_budget',
    'shard_key',
    'top_up',
)
