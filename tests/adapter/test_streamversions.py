"""Streams of servers of two software versions, with daemons as processes."""

import pytest

from .streamversions import GO_ON_SHARE, PLANS, WHOLE_SHARE, Played, play


def check_takes_up(played: Played) -> None:
    """Assert that callers can take streams up while their version serves."""
    assert len(played.counted) > 0, played.summary()
    assert played.go_on_share >= GO_ON_SHARE * played.begin_share, (
        played.summary()
    )


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
