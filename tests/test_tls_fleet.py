import time

from oriolegauge.testkit.authority import Authority
from tests.fleet import Fleet, chat
from tests.load import wait_until

DAEMONS = {'d1': 'a', 'd2': 'b'}


class TestMutualTls:
    def test_daemons_with_certificates_serve_as_one_fleet(self, tmp_path):
        """Guards against settings that links between daemons do not accept."""
        authority = Authority(tmp_path, 'fleet')
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.start_engine('e1')
            fleet.add_engine('e1')
            fleet.plan_daemons(DAEMONS)
            for name in DAEMONS:
                certificate = str(authority.member(name))
                fleet.daemon_settings[name]['peer_tls'] = {
                    'certificate_path': certificate,
                    'key_path': certificate,
                    'ca_path': str(authority.file),
                }
                fleet.start_daemon(name)
            wait_until(
                lambda: all(
                    len(fleet.state(name)['members']) == 2 for name in DAEMONS
                )
            )
            fleet.key = fleet.create_team('cafes', tokens=10_000)
            time.sleep(0.5)
            answers = [
                chat(
                    fleet.url(name),
                    fleet.key,
                    'Hello [len=4]',
                    headers={'Idempotency-Key': 'tls'},
                )
                for name in DAEMONS
            ]
            assert {answer[0] for answer in answers} == {200}
            assert answers[0][2] == answers[1][2]
