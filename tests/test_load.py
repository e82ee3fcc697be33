"""The load of the process tests."""

from http.client import IncompleteRead
from types import SimpleNamespace

from tests import load as load_module
from tests.load import Load


class TestLoad:
    def test_cut_answer_is_asked_for_again(self, monkeypatch):
        """Guards against a worker that ends with an answer cut by a kill.

        Its request was billed and never repeated, so the sums differed for
        ever (test_two_deaths_lose_no_bill, once).
        """
        answers = [IncompleteRead(b'cut'), (200, {'X-Billed-Tokens': '7'}, b'')]

        def chat(*_, **__):
            answer = answers.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return answer

        monkeypatch.setattr(load_module, 'chat', chat)
        fleet = SimpleNamespace(url=lambda _: '', key='k')
        load = Load(fleet, ['d1'])
        load._ask('key', 0)
        assert (load.answered, load.billed) == (1, 7)
        assert load.errors == {'IncompleteRead': 1}
