"""Fault tests with backend servers that are killed, paused and restarted."""

import signal

from tests.faults import FaultTestCase


class ServerFaultTest(FaultTestCase):
    """Faults of one of the three backend servers of the divided service."""

    def test_paused_server_resumes_after_its_keys_moved(self):
        """A backend server is paused for three seconds, then resumed.

        Its grant expires and its keys get other owners. The requests and renewals that
        it then reads from its socket buffers must not take effect.
        """
        outcomes = self.run_load(
            6.0,
            (1.0, lambda: self.site.signal("records1", signal.SIGSTOP)),
            (4.0, lambda: self.site.signal("records1", signal.SIGCONT)),
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_killed_server_restarts_immediately(self):
        """A backend server is killed and started again half a second later.

        The new process has another boot id and no grants. Grants of the old process
        must be treated as ended, and the new one must get its own.
        """
        outcomes = self.run_load(
            5.0,
            (1.0, lambda: self.site.kill("records1")),
            (1.5, lambda: self.site.restart_backend("records1")),
        )
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)

    def test_server_and_its_steward_are_paused_together(self):
        """A backend server and its steward's daemon are paused at the same time.

        Grants are not renewed, and the daemon that knows them cannot prove that they
        have ended. The successor must wait until the steward's right and its grants
        have expired.
        """
        steward = self.steward_of("records1")
        others = [n for n in ("d1", "d2", "d3", "d4") if n != steward]

        def pause():
            self.site.signal("records1", signal.SIGSTOP)
            self.site.signal(steward, signal.SIGSTOP)

        def resume():
            self.site.signal(steward, signal.SIGCONT)
            self.site.signal("records1", signal.SIGCONT)

        outcomes = self.run_load(8.0, (1.0, pause), (5.0, resume), daemons=others)
        self.check_invariants(outcomes)
        self.check_recovered(outcomes)
