"""Settings of a daemon, and the configuration that the fleet shares."""

from oriolegauge.config.configfollower import ConfigFollower, FollowerTiming
from oriolegauge.config.configpeers import ConfigPeers, PeerConfig
from oriolegauge.config.configtree import ConfigTree
from oriolegauge.config.daemonsettings import (
    DaemonSettings,
    PeerSettings,
    PeerTlsSettings,
    TlsSettings,
)
from oriolegauge.config.errors import ConfigInvalidError, SettingsInvalidError
from oriolegauge.config.followerstate import FollowerState
from oriolegauge.config.keys import hash_key, new_key, new_token, team_of
from oriolegauge.config.parse import parse_subtree
from oriolegauge.config.settingsfile import load_settings
from oriolegauge.config.subtrees import (
    CallerKey,
    EngineEntry,
    Limits,
    Operators,
    QueueLengths,
    Role,
    Servers,
    Service,
    Services,
    Team,
)

__all__ = (
    'CallerKey',
    'ConfigFollower',
    'ConfigInvalidError',
    'ConfigPeers',
    'ConfigTree',
    'DaemonSettings',
    'EngineEntry',
    'FollowerState',
    'FollowerTiming',
    'Limits',
    'Operators',
    'PeerConfig',
    'PeerSettings',
    'PeerTlsSettings',
    'QueueLengths',
    'Role',
    'Servers',
    'Service',
    'Services',
    'SettingsInvalidError',
    'Team',
    'TlsSettings',
    'hash_key',
    'load_settings',
    'new_key',
    'new_token',
    'parse_subtree',
    'team_of',
)
