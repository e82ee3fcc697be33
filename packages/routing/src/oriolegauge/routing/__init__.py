"""Choice of backend servers, ejection, retries and hedging."""

from oriolegauge.routing.hedgepolicy import HedgePolicy
from oriolegauge.routing.retrybudget import RetryBudget
from oriolegauge.routing.router import Router
from oriolegauge.routing.serverview import ServerView

__all__ = ('HedgePolicy', 'RetryBudget', 'Router', 'ServerView')
