"""Names of holders: `<daemon>/<incarnation>`, with `.<n>` after a closure.

A holder is a process that owns grants in a shard. A closed holder cannot write
any more, so its process continues under a new holder name.
"""


def daemon_of(holder: str) -> str:
    """Return the daemon's name in a holder name."""
    return holder.rpartition('/')[0]


def process_of(holder: str) -> str:
    """Return the process of a holder, `<daemon>/<incarnation>`."""
    daemon, _, incarnation = holder.rpartition('/')
    return f'{daemon}/{incarnation.partition(".")[0]}'
