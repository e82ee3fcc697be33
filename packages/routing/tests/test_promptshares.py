"""Division of servers between long and short prompts."""

import itertools

import pytest

from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.promptshares import (
    MAX_SHARE,
    MIN_SHARE,
    PromptShares,
)
from oriolegauge.routing.work import Work

SERVERS = [
    Candidate(name=f'e{number:02}', zone=f'z{number % 3}', slots=20)
    for number in range(30)
]
LONG = Work(prompt_tokens=9_000, longest_pause_s=0.25)
CHAT = Work(prompt_tokens=800, longest_pause_s=0.25)


def shares(longs=10, chats=10):
    """Return shares that have seen as many requests of both sorts run."""
    division = PromptShares()
    for _ in range(200):
        for _ in range(longs):
            division.started('', LONG)
        for _ in range(chats):
            division.started('', CHAT)
        for work, count in ((LONG, longs), (CHAT, chats)):
            for _ in range(count):
                division.ended('', work)
    return division


def follow(division, *, reading, running, seconds=20, began_at=0):
    """Follow steady loads; return the numbers of servers for long prompts."""
    counts = []
    for step in range(int(seconds * 10)):
        division.follow(
            SERVERS,
            reading=reading,
            running=running,
            now=began_at + step / 10,
        )
        counts.append(len(division.preferred(SERVERS, LONG)))
    return counts


class TestPromptShares:
    @pytest.mark.parametrize(
        ('token_s', 'is_divided'),
        [(1 / 93_600, False), (1 / 42_800, True)],
    )
    def test_servers_are_divided_where_reading_makes_pauses(
        self, token_s, is_divided
    ):
        """Guards against a division where reading can't make a stream late."""
        strength = shares().strength('', token_s)
        assert strength == (1 if is_divided else 0)

    def test_nothing_is_divided_before_there_are_long_prompts(self):
        """Guards against servers kept free for prompts that never come."""
        assert shares(longs=0).strength('', 1 / 1_000) == 0
        assert PromptShares().strength('', 1 / 1_000) == 0

    def test_share_follows_the_work(self):
        """Guards against a fixed share, whatever the mix."""
        division = shares()
        few = follow(division, reading=2, running=500)[-1]
        many = follow(division, reading=20, running=100, began_at=20)[-1]
        assert few < 15 < many
        assert few >= int(MIN_SHARE * 30)
        assert many <= round(MAX_SHARE * 30)

    def test_share_does_not_flap(self):
        """Guards against chats that move between servers each moment."""
        division = shares()
        follow(division, reading=8, running=300)
        counts = [
            follow(
                division,
                reading=8 + 4 * (step % 2),
                running=300,
                seconds=0.2,
                began_at=20 + step / 5,
            )[-1]
            for step in range(100)
        ]
        changes = sum(
            before != after for before, after in itertools.pairwise(counts)
        )
        assert changes <= 3

    def test_both_sorts_have_servers_of_their_own(self):
        """Guards against a server that both sorts prefer, or none."""
        division = shares()
        follow(division, reading=8, running=300)
        long = division.preferred(SERVERS, LONG)
        short = division.preferred(SERVERS, CHAT)
        assert not long & short
        assert long | short == {server.name for server in SERVERS}
