"""Room that the servers of a service have for a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Room:
    """State how loaded a service is.

    `wait_s` is the expected time to the first event of a request at the server
    where it comes earliest, infinite without a server. `busy_share` is the
    share of all slots that the requests of all daemons take; it is above 1
    while requests wait for slots. `reading_s` is the mean time that a server
    needs to read the prompts that wait there.
    """

    wait_s: float
    busy_share: float
    reading_s: float
