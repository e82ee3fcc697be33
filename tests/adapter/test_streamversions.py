"""Streams of servers of two software versions, with daemons as processes."""

import pytest

from .streamcaller import Resumption
from .streamversions import (
    GO_ON_SHARE,
    PLANS,
    WHOLE_SHARE,
    Played,
    go_on_share,
    play,
)


def check_takes_up(played: Played) -> None:
    """Assert that callers can take streams up while their version serves."""
    check_goes_on(played, played.counted)


def check_goes_on(played: Played, resumptions: list[Resumption]) -> None:
    """Assert that enough go on, compared with new streams that begin."""
    assert len(resumptions) > 0, played.summary()
    wanted = GO_ON_SHARE * played.begin_share
    assert go_on_share(resumptions) >= wanted, played.summary()


def check_versions(played: Played) -> None:
    """Assert that no stream is joined from two versions or has gaps."""
    assert len(played.joined) == 0, played.summary()
    assert len(played.misplaced) == 0, played.summary()


class TestStreamVersions:
    @pytest.mark.parametrize('seed', [1])
    async def test_broken_streams_are_resumed_at_their_version(
        self, tmp_path, seed
    ):
        """Guards against an answer that goes on at another version."""
        played = await play(PLANS['breaks'], seed=seed, folder=tmp_path)
        assert len(played.broken) > 0, played.summary()
        assert played.whole_share_of_broken >= WHOLE_SHARE, played.summary()
        check_versions(played)

    @pytest.mark.parametrize('seed', [1])
    async def test_versions_are_not_joined_after_a_kill_of_all_daemons(
        self, tmp_path, seed
    ):
        """Guards against versions known only to processes that are gone."""
        played = await play(PLANS['kill-all'], seed=seed, folder=tmp_path)
        check_versions(played)
        check_takes_up(played)

    @pytest.mark.parametrize('seed', [1])
    async def test_versions_are_not_joined_if_a_release_precedes_a_kill_of_all(
        self, tmp_path, seed
    ):
        """Guards against old streams that new processes continue at v2."""
        played = await play(
            PLANS['release-kill-all'], seed=seed, folder=tmp_path
        )
        check_versions(played)

    @pytest.mark.parametrize('seed', [1])
    async def test_versions_are_not_joined_if_callers_connections_break(
        self, tmp_path, seed
    ):
        """Guards against a take-up at a daemon that has not heard of it yet."""
        played = await play(PLANS['caller-breaks'], seed=seed, folder=tmp_path)
        check_versions(played)
        check_takes_up(played)

    @pytest.mark.parametrize('seed', [1])
    async def test_versions_are_not_joined_after_a_kill_of_one_daemon(
        self, tmp_path, seed
    ):
        """Guards against versions known only to the daemon that is gone."""
        played = await play(PLANS['kill-one'], seed=seed, folder=tmp_path)
        check_versions(played)
        check_takes_up(played)

    @pytest.mark.parametrize('seed', [1])
    async def test_versions_are_not_joined_in_third_tries(self, tmp_path, seed):
        """Guards against a take-up of a take-up at another version."""
        played = await play(
            PLANS['kill-each-twice'], seed=seed, folder=tmp_path
        )
        check_versions(played)
        check_takes_up(played)
        check_goes_on(played, played.counted_again)

    @pytest.mark.parametrize('seed', [1])
    async def test_versions_are_not_joined_beside_a_daemon_without_the_store(
        self, tmp_path, seed
    ):
        """Guards against streams that a daemon began by an outdated list."""
        played = await play(
            PLANS['release-cut-off'], seed=seed, folder=tmp_path
        )
        check_versions(played)
