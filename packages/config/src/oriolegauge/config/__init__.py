"""Configuration tree and daemon settings."""

from oriolegauge.config.configtree import ConfigTree
from oriolegauge.config.daemonsettings import (
    DaemonSettings,
    PeerSettings,
    load_settings,
)
from oriolegauge.config.errors import ConfigInvalidError, SettingsInvalidError
from oriolegauge.config.keys import hash_key, new_key
from oriolegauge.config.subtrees import (
    CallerKey,
    EngineEntry,
    Servers,
    Service,
    Services,
    Team,
)

__all__ = (
    'CallerKey',
    'ConfigInvalidError',
    'ConfigTree',
    'DaemonSettings',
    'EngineEntry',
    'PeerSettings',
    'Servers',
    'Service',
    'Services',
    'SettingsInvalidError',
    'Team',
    'hash_key',
    'load_settings',
    'new_key',
)
