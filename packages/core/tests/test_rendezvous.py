from oriolegauge.core import first, rank


class TestRendezvous:
    def test_first_agrees_with_rank(self):
        """Guards against daemons that disagree on the preferred node."""
        nodes = ['d1', 'd2', 'd3', 'd4']
        for number in range(50):
            assert first(f'k{number}', nodes) == rank(f'k{number}', nodes)[0]

    def test_removed_node_moves_only_its_keys(self):
        """Guards against a removed node that moves keys of other nodes."""
        nodes = ['d1', 'd2', 'd3', 'd4']
        for number in range(200):
            key = f'k{number}'
            before = first(key, nodes)
            if before != 'd4':
                assert first(key, nodes[:3]) == before

    def test_first_without_nodes_is_none(self):
        assert first('key', []) is None
