"""Runs a daemon whose connections to servers are refused for a time.

While the file `servers-cut` stands beside the settings, it lists the ports.
"""

import os
import runpy
from pathlib import Path

from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.routing.connectfailure import ConnectFailure

CUT_FILE = 'servers-cut'

_open = ServerConnection.open.__func__


async def _open_unless_cut(connection_class, address, *args, **options):
    cut = Path(os.environ['ORIOLEGAUGE_CONFIG']).with_name(CUT_FILE)
    if cut.exists() and str(address[1]) in cut.read_text().split():
        raise ServerUnreachableError('cut', ConnectFailure.REFUSED)
    return await _open(connection_class, address, *args, **options)


if __name__ == '__main__':
    ServerConnection.open = classmethod(_open_unless_cut)
    root = Path(__file__).resolve().parents[2]
    runpy.run_path(str(root / 'platform' / 'daemon.py'), run_name='__main__')
