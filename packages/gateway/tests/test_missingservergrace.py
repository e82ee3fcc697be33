"""Grace period for servers whose entries expired in an outage."""

import math
from dataclasses import dataclass

from oriolegauge.gateway.missingservergrace import (
    GRACE_AFTER_OUTAGE_S,
    GRACE_DURING_OUTAGE_S,
    missing_kept_until,
)


@dataclass
class Contact:
    failed_at: float = -math.inf
    regained_at: float = 0


class TestMissingKeptUntil:
    def test_removed_server_is_not_kept_without_an_outage(self):
        """Guards against requests to a server that was removed."""
        assert missing_kept_until([Contact(), Contact()], 100) < 100

    def test_servers_are_kept_for_two_seconds_after_recovery(self):
        """Guards against dropping all servers when the store recovers.

        Their entries may have expired in the outage.
        """
        contacts = [Contact(failed_at=50, regained_at=55), Contact(49, 56)]
        assert missing_kept_until(contacts, 56) == 55 + GRACE_AFTER_OUTAGE_S
        assert missing_kept_until(contacts, 90) < 90

    def test_grace_is_shorter_during_an_outage(self):
        """Guards against using a removed server for too long.

        The store was unreachable for one daemon only, and its peers had
        dropped the server 2 s before.
        """
        contacts = [Contact(failed_at=60, regained_at=10)]
        assert missing_kept_until(contacts, 61) == 61 + GRACE_DURING_OUTAGE_S
