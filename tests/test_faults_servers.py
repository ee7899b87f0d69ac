"""Backend servers that die, freeze and come back."""

import signal

from tests.faults import FaultTestCase


class ServerFaultTest(FaultTestCase):
    """One backend server of three is in trouble."""

    def test_a_frozen_server_thaws_after_its_keys_moved(self):
        """A backend server freezes for three seconds, then goes on.

        Its grant runs out and its keys get other owners. Thawed, it finds requests
        and renewals in its socket buffers: none of them may take effect.
        """
        outcomes = self.load_during(
            6.0,
            (1.0, lambda: self.site.signal("records1", signal.SIGSTOP)),
            (4.0, lambda: self.site.signal("records1", signal.SIGCONT)),
        )
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def test_a_killed_server_comes_back_at_once(self):
        """A backend server is killed and started again half a second later.

        The new process has another boot id and knows of no grant; the old one's
        grants must count as gone, and its own begin from nothing.
        """
        outcomes = self.load_during(
            5.0,
            (1.0, lambda: self.site.kill("records1")),
            (1.5, lambda: self.site.restart_backend("records1")),
        )
        self.check_promises(outcomes)
        self.check_recovered(outcomes)

    def test_a_server_freezes_together_with_its_steward(self):
        """A backend server and its steward's daemon freeze in the same moment.

        Nobody renews, and nobody who knows the grants can prove their end. The
        successor waits until both the steward's right and its grants are over.
        """
        steward = self.steward_of("records1")
        others = [n for n in ("d1", "d2", "d3", "d4") if n != steward]

        def freeze():
            self.site.signal("records1", signal.SIGSTOP)
            self.site.signal(steward, signal.SIGSTOP)

        def thaw():
            self.site.signal(steward, signal.SIGCONT)
            self.site.signal("records1", signal.SIGCONT)

        outcomes = self.load_during(8.0, (1.0, freeze), (5.0, thaw), daemons=others)
        self.check_promises(outcomes)
        self.check_recovered(outcomes)
