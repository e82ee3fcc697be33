"""Errors of configuration and settings."""

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode


class ConfigInvalidError(OriolegaugeError):
    """Reject a subtree of the configuration that does not validate."""

    code = ResultCode.CONFIG_INVALID


class SettingsInvalidError(OriolegaugeError):
    """Reject a settings file; the message lists each invalid place."""

    code = ResultCode.SETTINGS_INVALID
