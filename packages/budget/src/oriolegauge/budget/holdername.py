"""Names of holders: `<daemon>/<incarnation>`, with `.<n>` after a closure."""


def daemon_of(holder: str) -> str:
    """Return the daemon's name in a holder name."""
    return holder.rpartition('/')[0]


def process_of(holder: str) -> str:
    """Return the name of the process that the holder belongs to.

    A process whose holder was closed goes on as `<process>.<n>`.
    """
    daemon, _, incarnation = holder.rpartition('/')
    return f'{daemon}/{incarnation.partition(".")[0]}'
