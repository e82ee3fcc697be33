"""Log output of the daemon."""

import sys

import structlog

from oriolegauge.core.jsonlogs import configure_json_logs


def configure_logs() -> None:
    """Write JSON lines to standard error."""
    configure_json_logs(structlog.WriteLoggerFactory(file=sys.stderr))
