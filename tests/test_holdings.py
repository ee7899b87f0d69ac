"""Which connections give way when clients hold more than there is memory for."""

import collections
import unittest

import attrs

from tarragonramp.adapters.web import LONG_RECEIVE_BUFFER_BYTES
from tarragonramp.clock import ManualClock
from tarragonramp.holdings import CONNECTION_BYTES, STALL_MS, HoldingTable, Phase
from tarragonramp.sizes import Resources

TICK_MS = 10.0
BODY_BYTES, CROWD = 1_000_000, 600
LINK_BYTES_PER_TICK = 1_250_000


class NewcomerRefusedTable(HoldingTable):
    """Compared policy: nobody gives way, so that who comes last is refused."""

    def _revoke_one(self, groups, order, spared=None):
        return False


class LargestFirstTable(HoldingTable):
    """Compared policy: who holds most gives way."""

    def _revoke_one(self, groups, order, spared=None):
        holdings = [
            holding
            for group in groups
            for phase in (Phase.CLIENT, Phase.UNUSED, Phase.IDLE)
            for holding in self._phases(group)[phase]
        ]
        if not holdings:
            return False
        largest = max(holdings, key=lambda holding: holding.n_bytes)
        return self._revoke(largest)


@attrs.define(eq=False)
class Client:
    """Sends bodies of some length at some speed, up to a point, one after the other.

    Parameters
    ----------
    n_bytes : int
        Length of the body.
    bytes_per_tick : int
    is_finishing : bool
        Whether it sends the last byte.
    """

    table: HoldingTable
    n_bytes: int
    bytes_per_tick: int
    is_finishing: bool = True
    n_served: int = 0
    n_failed: int = 0
    _holding: object = None
    _n_sent: int = 0

    def tick(self):
        """Send the next bytes; return their number."""
        table = self.table
        if self._holding is None:
            self._holding, self._n_sent = table.open("door", lambda: None, 2 * CROWD), 0
            if self._holding is None:
                self.n_failed += 1
                return 0
            table.begin_receiving(self._holding)
        end = self.n_bytes if self.is_finishing else self.n_bytes - 1
        n_bytes = min(self.bytes_per_tick, end - self._n_sent)
        is_held = table.charge(self._holding, n_bytes)
        if n_bytes:
            table.record_progress(self._holding, n_bytes)
        self._n_sent += n_bytes
        if not is_held:
            self.n_failed += 1
        elif self._n_sent == self.n_bytes:
            self.n_served += 1
        else:
            return n_bytes
        table.close(self._holding)
        self._holding = None
        return n_bytes

    @property
    def served_share(self):
        """Fraction of its requests that were served."""
        return self.n_served / max(1, self.n_served + self.n_failed)


def play(make_table, crowd_bytes_per_tick, seconds=20):
    """Have ordinary clients and a crowd send; return the shares that were served.

    Parameters
    ----------
    make_table : callable
    crowd_bytes_per_tick : int
        At which one client of the crowd sends, as far as the link allows.
    seconds : int

    Returns
    -------
    ordinary, slow : float
        Of clients with 200 kB in 0.2 s, and of one with the longest body in 5 s.
    """
    clock = ManualClock()
    table = make_table(Resources(memory_mb=300), clock)
    crowd = collections.deque(
        Client(table, BODY_BYTES, crowd_bytes_per_tick, is_finishing=False)
        for _ in range(CROWD)
    )
    ordinary = [Client(table, 200_000, 10_000) for _ in range(4)]
    slow = Client(table, BODY_BYTES, 2000)
    for _ in range(int(seconds * 1000 / TICK_MS)):
        for client in (*ordinary, slow):
            client.tick()
        n_left = LINK_BYTES_PER_TICK
        for client in crowd:
            n_left -= client.tick()
            if n_left <= 0:
                break
        crowd.rotate(1)
        clock.advance(TICK_MS)
    n_served = sum(client.n_served for client in ordinary)
    n_failed = sum(client.n_failed for client in ordinary)
    return n_served / max(1, n_served + n_failed), slow.served_share


class PolicyTest(unittest.TestCase):
    """What a crowd that holds bodies without their end leaves to others."""

    def test_ordinary_clients_are_served_beside_bodies_without_end(self):
        """Guards against a crowd that shuts out all others, however fast it sends."""
        for bytes_per_tick in (100_000, 10_000, 2000):
            with self.subTest(bytes_per_tick):
                ordinary, _ = play(HoldingTable, bytes_per_tick)
                self.assertEqual(ordinary, 1.0)
                refused, _ = play(NewcomerRefusedTable, bytes_per_tick)
                self.assertLess(refused, 0.5)

    def test_a_slow_client_with_the_longest_body_is_served(self):
        """Guards against rules that take a slow link for a client that stalls.

        A crowd that sends as slowly cannot be told from it, and shuts it out.
        """
        self.assertEqual(play(HoldingTable, 100_000)[1], 1.0)
        self.assertLess(play(LargestFirstTable, 100_000)[1], 0.5)


class HoldingTableTest(unittest.TestCase):
    """Order in which connections give way."""

    def setUp(self):
        self.clock = ManualClock()
        self.table = HoldingTable(Resources(memory_mb=128), self.clock)
        self.revoked = []

    def open(self, name, n_bytes=0):
        """Open a connection whose request is being read."""
        holding = self.table.open("door", lambda: self.revoked.append(name), 1000)
        self.table.begin_receiving(holding)
        self.assertTrue(self.table.charge(holding, n_bytes))
        return holding

    def fill(self, holding):
        """Charge what is left of the budget, and one byte."""
        n_left = self.table.resources.shared_bytes - self.table.n_bytes
        return self.table.charge(holding, n_left + 1)

    def test_who_made_no_progress_for_longest_gives_way(self):
        first, second = self.open("first", 1000), self.open("second", 1000)
        self.clock.advance(STALL_MS + 1)
        self.table.record_progress(first, 5000)
        self.assertTrue(self.fill(self.open("new")))
        self.assertEqual(self.revoked, ["second"])
        self.assertTrue(second.is_revoked)

    def test_a_byte_at_a_time_is_no_progress(self):
        drip, _ = self.open("drip"), self.open("steady")
        for _ in range(100):
            self.clock.advance(100.0)
            self.table.record_progress(drip, 1)
        steady = self.open("later")
        self.assertTrue(self.fill(steady))
        self.assertEqual(self.revoked, ["drip"])

    def test_requests_at_servers_do_not_give_way(self):
        """Guards against requests that run, and whose answers are lost."""
        running = self.open("running")
        self.table.end_receiving(running)
        self.table.begin_request(running, 1000)
        self.clock.advance(60_000.0)
        self.assertFalse(self.fill(self.open("new")))
        self.assertEqual(self.revoked, [])

    def test_answers_that_nobody_takes_give_way(self):
        reader = self.open("reader")
        self.table.end_receiving(reader)
        self.table.begin_request(reader, 1000)
        self.table.begin_sending(reader)
        self.clock.advance(STALL_MS + 1)
        self.assertTrue(self.fill(self.open("new")))
        self.assertEqual(self.revoked, ["reader"])

    def test_idle_connections_give_way_before_requests_that_get_on(self):
        used = self.open("used")
        self.table.end_receiving(used)
        self.clock.advance(STALL_MS + 1)
        self.open("sending")
        self.assertTrue(self.fill(self.open("new")))
        self.assertEqual(self.revoked, ["used"])

    def test_bytes_are_counted_until_they_are_freed(self):
        holding = self.open("old", 5000)
        self.fill(self.open("new"))
        self.assertEqual(self.table.n_revoked_bytes, 5000 + CONNECTION_BYTES)
        self.table.release(holding, 5000)
        self.table.close(holding)
        self.assertEqual(self.table.n_revoked_bytes, 0)

    def test_nothing_is_left_of_connections_that_have_ended(self):
        """Guards against a budget that shrinks with each connection."""
        holdings = [self.open(str(n), 10_000) for n in range(50)]
        for holding in holdings[:25]:
            self.table.end_receiving(holding)
            self.table.begin_request(holding, 700)
        for holding in holdings:
            self.table.close(holding)
        self.assertEqual(self.table.n_bytes, 0)
        self.assertEqual(sum(self.table.counts().values()), 0)

    def test_a_connection_too_many_ends_one_that_waits_for_nothing(self):
        """Guards against idle connections that keep others from being accepted."""
        open_one = lambda name: self.table.open(
            "door", lambda: self.revoked.append(name), 2
        )
        first, _ = open_one("first"), open_one("second")
        self.table.begin_receiving(first)
        self.assertIsNotNone(open_one("third"))
        self.assertEqual(self.revoked, ["second"])
        self.table.end_receiving(first)
        self.table.begin_request(first, 100)
        self.assertIsNotNone(open_one("fourth"))
        self.assertEqual(self.revoked, ["second", "third"])

    def test_a_connection_is_refused_while_all_others_are_served(self):
        holdings = [self.table.open("door", None, 2) for _ in range(2)]
        for holding in holdings:
            self.table.begin_request(holding, 100)
        self.assertIsNone(self.table.open("door", None, 2))
        self.assertIsNotNone(self.table.open("other door", None, 2))
        self.assertEqual(self.table.n_revoked["new"], 1)
        self.table.close(holdings[0])
        self.assertIsNotNone(self.table.open("door", None, 2))

    def open_answers(self, source, *sizes):
        """Open answers of a server, each with its bytes; return their holdings."""
        opened = []
        for n, n_bytes in enumerate(sizes):
            revoke = lambda n=n: self.revoked.append(f"{source}-{n}")
            opened.append(self.table.open_answer(source, revoke))
            self.table.charge(opened[-1], n_bytes)
        return opened

    def test_a_server_with_long_answers_gives_way_before_clients(self):
        """Guards against a server at fault that costs the callers of others."""
        budget = self.table.resources.shared_bytes
        self.open("client", 1000)
        self.open_answers("sound", 1000)
        self.open_answers("faulty", budget // 3, budget // 2)
        self.assertTrue(
            self.table.charge(self.open_answers("sound", 0)[0], budget // 3)
        )
        self.assertEqual(self.revoked, ["faulty-1"])

    def test_a_server_whose_answers_were_broken_off_gives_way_again(self):
        """Guards against a sound long answer that is broken off beside short ones."""
        budget = self.table.resources.shared_bytes
        faulty = self.open_answers("faulty", budget // 2 + 9, budget // 2)
        self.assertEqual(self.revoked, ["faulty-0"])
        self.table.record_answer(faulty[0], is_whole=False)
        self.table.close(faulty[0])
        self.table.record_answer(faulty[1], is_whole=False)
        self.table.close(faulty[1])
        (sound,) = self.open_answers("sound", budget // 2)
        self.open_answers("faulty", budget // 3, budget // 3)
        self.assertEqual(self.revoked, ["faulty-0", "faulty-0"])
        self.assertFalse(sound.is_revoked)

    def test_a_whole_answer_clears_its_server(self):
        budget = self.table.resources.shared_bytes
        (broken,) = self.open_answers("a", 1000)
        self.table.record_answer(broken, is_whole=False)
        self.table.close(broken)
        (whole,) = self.open_answers("a", 1000)
        self.table.record_answer(whole, is_whole=True)
        self.table.close(whole)
        self.open_answers("a", budget // 3)
        self.open_answers("b", budget // 2, budget // 3)
        self.assertEqual(self.revoked, ["b-0"])

    def test_clients_that_wait_give_way_while_answers_hold_little(self):
        """Guards against answers that are broken off for clients that stall."""
        budget = self.table.resources.shared_bytes
        self.open("stalling", 0.7 * budget)
        self.open_answers("sound", budget // 5, budget // 5)
        self.assertEqual(self.revoked, ["stalling"])

    def test_nothing_is_left_of_answers_that_have_ended(self):
        """Guards against a budget that shrinks with each answer."""
        budget = self.table.resources.shared_bytes
        for holding in self.open_answers("a", *[budget // 4] * 6):
            self.table.record_answer(holding, is_whole=False)
            self.table.close(holding)
        self.assertEqual((self.table.n_bytes, self.table.n_revoked_bytes), (0, 0))
        self.assertEqual(sum(self.table.counts().values()), 0)
        self.assertEqual(self.table.bytes_of("a"), 0)

    def test_the_longest_body_has_room_on_a_small_vm(self):
        """Guards against a budget that refuses a legal request in calm."""
        table = HoldingTable(Resources(memory_mb=160), self.clock)
        holding = table.open("door", None, 1000)
        self.assertTrue(table.begin_request(holding, 100_000))
        self.assertTrue(table.charge(holding, LONG_RECEIVE_BUFFER_BYTES))
        self.assertTrue(table.charge(holding, 64 << 20))
