"""Retries of the load generator of the process tests."""

from http.client import IncompleteRead
from types import SimpleNamespace

from tests import load as load_module
from tests.load import Load


class TestLoad:
    def test_truncated_answer_is_requested_again(self, monkeypatch):
        """Guards against a worker thread that ends on a truncated answer.

        A killed daemon truncates an answer that is billed already. If its
        request is not repeated, the sum of answers stays below the bill, as
        once in test_two_crashes_lose_no_bill.
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
        load._send_until_answered('key', 0)
        assert (load.answered, load.billed) == (1, 7)
        assert load.errors == {'IncompleteRead': 1}
