from oriolegauge.core import first, rank


class TestRendezvous:
    def test_first_is_head_of_rank(self):
        """Guards against two callers disagreeing on the preferred node."""
        nodes = ['d1', 'd2', 'd3', 'd4']
        for number in range(50):
            assert first(f'k{number}', nodes) == rank(f'k{number}', nodes)[0]

    def test_loss_of_a_node_moves_only_its_keys(self):
        """Guards against remapping keys of nodes that stay."""
        nodes = ['d1', 'd2', 'd3', 'd4']
        for number in range(200):
            key = f'k{number}'
            before = first(key, nodes)
            if before != 'd4':
                assert first(key, nodes[:3]) == before

    def test_no_nodes(self):
        assert first('key', []) is None
