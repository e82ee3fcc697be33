"""Structured logs as JSON lines.

Prompts, answers and keys must never be logged.
"""

import logging
from collections.abc import Callable
from typing import Any

import structlog


def configure_json_logs(
    logger_factory: Callable[..., Any], *, is_cached: bool = False
) -> None:
    """Write JSON lines to the loggers that the factory creates.

    With `is_cached`, each module keeps the logger of its first log call.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=logger_factory,
        cache_logger_on_first_use=is_cached,
    )
