"""Keys move only when the earlier owner has let go, with servers that are scripted.

The store is a dict and the clock stands until a test moves it; only the short pauses
between tries are real.
"""

import types
import unittest

import attrs
import gevent
from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.balancing import Loads
from tarragonramp.directory import BackendServer
from tarragonramp.errors import (
    ConflictError,
    NoConnectionError,
    NotSentError,
    OvertakenGrantError,
    UnansweredError,
    WrongServerError,
)
from tarragonramp.fleet_view import FleetView
from tarragonramp.heat import Heat
from tarragonramp.leading import LATE_GRANT_MS, Inherited, LeaseTiming
from tarragonramp.manifest import N_KEYS, FleetService, Manifest, RouteTable
from tarragonramp.model import Stored
from tarragonramp.ranges import (
    GAP,
    KeyRange,
    RangeTable,
    even_bounds,
    fence_token,
)
from tarragonramp.roles.granter import Granter

from .fleet_world import Store

TIMING = LeaseTiming()
FENCE = fence_token(1, 1, 0)
SILENT = Failure(UnansweredError("no answer"))
GONE = Failure(NotSentError("refused"))
UNCONNECTED = Failure(NoConnectionError("none is open"))


class Servers:
    """Servers that note what they are told and answer as a test says."""

    def __init__(self):
        self.calls, self.answers, self.lost = [], {}, False
        self.bounds = []

    def has_lost(self, address):
        """Tell whether the kept connection was closed."""
        return self.lost

    def grant(self, server, address, first, last, token, *rest, **bounds):
        """Note a grant."""
        self.calls.append(("grant", server, token))
        self.bounds.append(bounds)
        return self.answers.get(("grant", server), Success(None))

    def release(self, server, address, first, last, token, timeout_ms):
        """Note a release."""
        self.calls.append(("release", server, token))
        return self.answers.get(("release", server), Success("handover"))


def server(name, life=1):
    """Return a backend server of the divided service."""
    return BackendServer(name, life, "parts", f"{name}:80", "a", 3)


class GranterTest(unittest.TestCase):
    """One leader, one range of all keys, and two servers."""

    def setUp(self):
        self.clock = ManualClock(100_000.0)
        self.view = FleetView(self.clock)
        services = {"parts": FleetService("parts", divided=True)}
        self.view.take_routes(RouteTable(Manifest(1, (), services)))
        self.view.servers_read = True
        self.store, self.servers = Store(), Servers()
        self.leader = types.SimpleNamespace(
            timing=TIMING,
            leads=True,
            may_move=True,
            term=1,
            inherited=Inherited(-1e9, -1e9),
            heat_of=lambda service: Heat({}, 0.0, 1.0),
            loads=Loads("a"),
        )
        self.granter = Granter(
            self.view,
            self.leader,
            self.store,
            self.servers,
            self.clock,
            types.SimpleNamespace(pick=lambda server: ""),
        )
        self.tasks = []
        self.addCleanup(lambda: gevent.killall(self.tasks))

    def own(self, owner="old", token=1, life=1):
        """Give all keys to a server, as the store says."""
        item = KeyRange(0, N_KEYS - 1, owner, life, token)
        table = RangeTable("parts", (item,), {owner: f"{owner}:80"})
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.take_table(table, stored.version)

    def list_servers(self, *servers):
        """Make servers known to the store and the leader."""
        for item in servers:
            self.view.directory.take(item)
            self.store.objects["server", item.name] = Stored("server", "", 1, item)

    def let_others_stop(self, in_ms):
        """Let an earlier leader of which nothing is known stop after some time."""
        stopped_ms = self.clock.now_ms() + in_ms
        self.leader.inherited = Inherited(stopped_ms, stopped_ms + LATE_GRANT_MS)

    def start(self):
        """Let the leader work."""
        self.tasks.append(gevent.spawn(self.granter.run))

    def wait(self, condition, timeout_s=3.0):
        """Wait until a condition holds; return whether it does."""
        with gevent.Timeout(timeout_s, False):
            while not condition():
                gevent.sleep(0.01)
        return condition()

    def grants_to(self, name):
        """Return the tokens of the grants that a server got."""
        return [
            token
            for kind, n, token in self.servers.calls
            if (kind, n) == ("grant", name)
        ]

    def releases_of(self, name):
        """Return the tokens of the releases that a server was asked for."""
        return [
            t for kind, n, t in self.servers.calls if (kind, n) == ("release", name)
        ]

    def test_a_living_owner_is_released_before_the_next_gets_its_keys(self):
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        names = [(kind, name) for kind, name, _ in self.servers.calls]
        self.assertIn(("release", "old"), names)
        self.assertLess(names.index(("release", "old")), names.index(("grant", "new")))
        self.assertEqual(set(self.grants_to("new")), {1 + GAP})
        settled = self.wait(lambda: not self.view.tables["parts"].find(0).is_moving)
        self.assertTrue(settled)

    def test_the_next_owner_is_granted_only_what_the_store_calls_free(self):
        """All daemons are killed while keys move, some of which have been granted.

        The store did not tell which, so the new leader fenced the earlier owners of all
        of them: under tokens below those of the next owners, which held the keys.
        """
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        grant, seen = self.servers.grant, []

        def grant_and_look(name, *arguments, **bounds):
            stored = self.store.objects["ramp-ranges", "parts"].spec
            table = RangeTable.from_spec(stored)
            seen.append((name, table.find(0).is_moving))
            return grant(name, *arguments, **bounds)

        self.servers.grant = grant_and_look
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertNotIn(("new", True), seen)

    def test_a_silent_owner_keeps_its_keys_until_time_proves_their_end(self):
        self.own()
        self.list_servers(server("old"), server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers |= {("grant", "old"): GONE, ("release", "old"): GONE}
        self.view.directory.lose("old")
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.7))
        self.clock.advance(TIMING.hold_ms)
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.7))
        self.clock.advance(TIMING.longest_hold_ms)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_an_unanswered_grant_is_waited_out_also_if_its_server_is_cut_off(self):
        """A failure domain is cut off while its servers carry grants out late.

        Its server took a grant and could not be reached for longer than the hold; its
        keys moved, and then it carried the grant out.
        """
        self.own()
        self.list_servers(server("old"), server("new"))
        self.servers.answers["grant", "old"] = SILENT
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers |= {("grant", "old"): GONE, ("release", "old"): GONE}
        self.view.directory.lose("old")
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.7))
        self.clock.advance(LATE_GRANT_MS)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_a_grant_under_way_is_no_proof(self):
        """A range moves on while the first grant to its owner has no answer yet.

        Nothing was noted of that grant before its answer: time seemed to have proved
        long ago that the owner held nothing. The next one had the keys, and then the
        server carried the grant out.
        """
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        grant = self.servers.grant

        def grant_slowly(name, *arguments, **bounds):
            result = grant(name, *arguments, **bounds)
            if name == "new":
                gevent.sleep(1.5)
                return SILENT
            return result

        self.servers.grant = grant_slowly
        self.servers.answers["release", "new"] = GONE
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.list_servers(server("third"))
        self.view.directory.lose("new")
        self.assertFalse(self.wait(lambda: self.grants_to("third"), 1.2))

    def start_with_a_silent_renewal(self):
        """Let the leader renew a range without an answer; later ones are answered."""
        self.own()
        self.list_servers(server("old"), server("new"))
        self.servers.answers["grant", "old"] = SILENT
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers.clear()

    def test_a_late_grant_is_fenced_before_the_release(self):
        """A renewal gets no answer, and the server is applied it seconds later.

        Applied after the release it would give the old owner its keys back while the
        new one has them. The server has seen a higher token by then, and refuses it.
        """
        self.start_with_a_silent_renewal()
        self.view.directory.lose("old")
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        calls = [c for c in self.servers.calls if c[1] == "old"]
        at = calls.index(("release", "old", FENCE))
        self.assertEqual(calls[at - 1], ("grant", "old", FENCE))

    def let_be_busy(self, *keys, hottest=()):
        """Let keys be busy, as all daemons told the leader, some more than can move."""
        work = dict.fromkeys(keys, 9000.0) | dict.fromkeys(hottest, 100_000.0)
        heat = Heat(work, 300.0, 4300.0)
        self.leader.heat_of = lambda service: heat
        self.clock.advance(1000.0)

    def test_busy_keys_are_cut_off_their_range_and_moved(self):
        """The pieces that stay are renewed, each under the token of the whole."""
        self.own()
        self.list_servers(server("old"), server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.let_be_busy(100, 101, 102, 103)
        self.assertTrue(self.wait(lambda: 1 + GAP in self.grants_to("new")))
        self.assertIn(("release", "old", 1), self.servers.calls)
        table = self.view.tables["parts"]
        self.assertGreater(len(table.ranges), 1)
        owners = {item.owner: item.token for item in table.ranges}
        self.assertEqual(owners, {"old": 1, "new": 1 + GAP})

    def test_a_grant_of_the_whole_range_is_in_doubt_for_each_piece(self):
        """A range is cut while a renewal of all of it has no answer.

        The renewal arrives after a piece was released and given to another server, and
        would give the old owner the piece back, beside the new one.
        """
        self.start_with_a_silent_renewal()
        self.let_be_busy(100, 101, 102, 103)
        self.assertTrue(self.wait(lambda: 1 + GAP in self.grants_to("new")))
        self.assertIn(("release", "old", FENCE), self.servers.calls)
        self.assertNotIn(("release", "old", 1), self.servers.calls)
        told = {first for _, first, _, _ in self.doubts()}
        kept = {i.first for i in self.view.tables["parts"].ranges if i.owner == "old"}
        self.assertLessEqual(kept, told)

    def test_a_piece_that_was_moved_does_not_end_the_renewals_of_the_rest(self):
        """A renewal of the whole range comes to a server that was fenced for a piece.

        It says that it has seen a higher token; the pieces that it keeps are renewed
        nevertheless.
        """
        self.own()
        self.list_servers(server("old"), server("new"))
        grant, held_up = self.servers.grant, []
        self.renewed_bounds = set()

        def grant_late(name, address, first, last, token, *rest, **bounds):
            if (name, first, last) == ("old", 0, N_KEYS - 1) and not held_up:
                held_up.append(True)
                gevent.sleep(1.0)
                return Failure(OvertakenGrantError("higher token"))
            if token == 1:
                self.renewed_bounds.add((first, last))
            return grant(name, address, first, last, token, *rest, **bounds)

        self.servers.grant = grant_late
        self.start()
        self.assertTrue(self.wait(lambda: held_up))
        self.let_be_busy(100, 101, 102, 103, hottest=[50])
        self.assertTrue(self.wait(lambda: 1 + GAP in self.grants_to("new"), 5.0))
        table = self.view.tables["parts"]
        kept = {(i.first, i.last) for i in table.ranges if i.owner == "old"}
        self.assertIn(0, {first for first, _ in kept})
        renewed = self.wait(lambda: kept <= self.renewed_bounds, 8.0)
        self.assertTrue(renewed, (kept, self.renewed_bounds))

    def test_each_fencing_grant_is_above_the_last(self):
        """Servers carry orders out late, and a fencing grant gets no answer.

        The same one sent again was answered, and the keys moved; then the first was
        applied, and the old owner had them again beside the new one.
        """
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        self.let_others_stop(0.0)
        self.servers.answers["grant", "old"] = SILENT
        self.start()
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) > 2))
        self.servers.answers.clear()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        tokens = self.grants_to("old")
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertIn(("release", "old", tokens[-1]), self.servers.calls)
        self.assertLess(tokens[-1], self.grants_to("new")[0])

    def test_an_old_owner_that_answers_no_fence_is_left_to_time(self):
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        self.let_others_stop(0.0)
        self.servers.answers["grant", "old"] = SILENT
        self.start()
        self.assertFalse(self.wait(lambda: len(self.grants_to("old")) > 8, 3.5))
        self.assertEqual(self.grants_to("new"), [])
        # What it has not answered may be carried out late.
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.6))
        self.clock.advance(LATE_GRANT_MS)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_a_new_leader_fences_what_the_one_before_may_have_sent(self):
        self.let_others_stop(9000.0)
        self.own()
        self.list_servers(server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertIn(("release", "old", FENCE), self.servers.calls)

    def test_a_new_leader_fences_only_what_the_one_before_is_in_doubt_of(self):
        """The leader before was asked, and knows that all its grants were answered.

        Without its word an owner that is gone is waited for 15 s after each change of
        the leader, also if no server ever left a grant unanswered.
        """
        now_ms = self.clock.now_ms()
        self.leader.inherited = Inherited(now_ms, now_ms, {})
        self.own()
        self.list_servers(server("new"))
        self.servers.answers |= {("grant", "old"): GONE, ("release", "old"): GONE}
        self.start()
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.6))
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_what_had_no_answer_is_told_the_next_leader(self):
        self.own()
        self.list_servers(server("old"), server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.assertEqual(self.doubts(), [])
        self.servers.answers["grant", "old"] = SILENT
        self.clock.advance(TIMING.regrant_ms)
        self.assertTrue(self.wait(lambda: self.doubts(), 5.0))
        (service, first, token, left_ms), *more = self.doubts()
        self.assertEqual((service, first, token, more), ("parts", 0, 1, []))
        self.assertGreater(left_ms, LATE_GRANT_MS - 100.0)

    def doubts(self):
        """Return the rows that a leader tells its successor."""
        doubts = self.granter.keeper.doubts()
        return doubts.to_message(self.clock.now_ms())["ranges"]

    def test_what_the_leaders_before_were_in_doubt_of_is_told_on(self):
        key, until_ms = ("parts", 0, 1), self.clock.now_ms() + 5000.0
        before = Inherited(self.clock.now_ms(), 0.0, {key: until_ms})
        self.leader.inherited = before
        told = self.granter.keeper.doubts().to_message(self.clock.now_ms())
        again = Inherited.from_message(told, self.clock.now_ms())
        self.assertEqual(again.doubt_ends_ms(key), until_ms)
        self.assertLess(again.doubt_ends_ms(("parts", 7, 1)), until_ms - 4000.0)

    def test_owners_that_only_time_proves_gone_hold_up_no_move(self):
        """Servers vanish, and then a failure domain is taken out.

        The ranges of those that had vanished took all the room for moves, for as long
        as time proved nothing: 40 s, in which the keys of the domain were refused.
        """
        bounds = range(0, N_KEYS, N_KEYS // 64)
        owners = ["lost"] * 60 + ["old"] * 4
        ranges = tuple(
            KeyRange(first, first + N_KEYS // 64 - 1, owner, 1, 1)
            for first, owner in zip(bounds, owners, strict=True)
        )
        table = RangeTable("parts", ranges, {"lost": "lost:80", "old": "old:80"})
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.take_table(table, stored.version)
        self.servers.answers["release", "lost"] = GONE
        self.list_servers(server("old"), server("new"))
        self.let_others_stop(0.0)
        self.start()
        self.assertTrue(self.wait(lambda: self.releases_of("lost")))
        self.list_servers(attrs.evolve(server("old"), draining=True))
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        self.assertTrue(self.wait(lambda: len(self.grants_to("new")) >= 4))

    def test_an_address_that_another_server_has_proves_the_end(self):
        """55 keys went to a server at a reused address, with the token of the old."""
        self.own()
        self.list_servers(server("new"))
        wrong = Failure(WrongServerError("another server"))
        self.let_others_stop(0.0)
        self.servers.answers |= {("grant", "old"): wrong, ("release", "old"): wrong}
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertEqual(self.grants_to("new")[0], 1 + GAP)

    def test_another_life_of_the_owner_gets_a_higher_token(self):
        self.own()
        self.list_servers(server("old", life=2))
        self.start()
        self.assertTrue(self.wait(lambda: 1 + GAP in self.grants_to("old")))
        self.assertNotIn(1, self.grants_to("old"))

    def test_a_server_that_broke_its_connection_gets_higher_tokens(self):
        """Guards against a new life of it, not listed yet, that gets the old token."""
        self.own()
        self.list_servers(server("old"))
        self.servers.answers["grant", "old"] = SILENT
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers.clear()
        before = len(self.grants_to("old"))
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) > before))
        self.check_first_connections()
        self.assertNotIn(1, self.grants_to("old")[before:])

    def test_a_server_that_closed_its_connection_gets_higher_tokens(self):
        """Guards against one that ended and started between two renewals."""
        self.own()
        self.list_servers(server("old"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.lost = True
        before = len(self.grants_to("old"))
        self.clock.advance(TIMING.regrant_ms)
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) > before, 6.0))
        self.assertNotIn(1, self.grants_to("old")[before:])
        self.check_first_connections()

    def check_first_connections(self):
        """Fail if a connection might be opened for a token that was sent before."""
        sent = set()
        grants = [token for kind, _, token in self.servers.calls if kind == "grant"]
        for token, bounds in zip(grants, self.servers.bounds, strict=True):
            self.assertTrue(bounds["reuse_only"] or token not in sent, token)
            sent.add(token)

    def test_without_a_write_to_the_store_no_connection_is_opened(self):
        """Guards against the old token for a server that restarts in an outage.

        Once the store takes writes again, its keys are renewed.
        """
        self.own()
        self.list_servers(server("old"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        put = self.store.put
        asked = []

        def fail(kind, name, spec, version):
            asked.append(name)
            return Failure(UnansweredError("store is away"))

        self.store.put = fail
        self.servers.lost = True
        gevent.sleep(0.3)
        before = len(self.grants_to("old"))
        gevent.sleep(TIMING.regrant_ms / 1000.0 + 0.5)
        self.assertEqual(len(self.grants_to("old")), before)
        self.assertTrue(asked)
        # Once it is known that the store does not hear this leader, it isn't asked.
        self.leader.may_move = False
        gevent.sleep(0.1)
        n_asked = len(asked)
        gevent.sleep(2.5)
        self.assertEqual(len(asked), n_asked)
        self.assertEqual(len(self.grants_to("old")), before)
        self.leader.may_move = True
        self.store.put = put
        renewed = self.wait(lambda: len(self.grants_to("old")) > before, 6.0)
        self.assertTrue(renewed)
        self.check_first_connections()

    def test_a_store_that_refuses_writes_is_not_asked_at_once_again(self):
        """Guards against calls beyond the store's rate while it turns them away."""
        self.own()
        self.list_servers(server("old"))
        asked = []

        def refuse(kind, name, spec, version):
            asked.append(name)
            return Failure(UnansweredError("too many calls"))

        self.store.put = refuse
        self.servers.lost = True
        self.start()
        gevent.sleep(1.5)
        self.assertIn(len(asked), range(2, 8))

    def test_a_closed_connection_is_remembered_until_tokens_are_raised(self):
        """Guards against a new life that gets the old token, on a first connection."""
        self.own()
        self.list_servers(server("old"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.leader.may_move = False
        closed = iter([True])
        self.servers.has_lost = lambda address: next(closed, False)
        before = len(self.grants_to("old"))
        gevent.sleep(TIMING.regrant_ms / 1000.0 + 3.0)
        self.assertEqual(len(self.grants_to("old")), before)

    def test_without_the_store_renewals_take_only_open_connections(self):
        """Guards against a server's new life that gets the token of the one before."""
        self.own(life=4)
        self.list_servers(server("old", life=4))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.assertEqual(self.servers.bounds[-1], {"life": 4, "reuse_only": True})
        self.leader.may_move = False
        self.servers.answers["grant", "old"] = UNCONNECTED
        n_before = len(self.servers.bounds)
        self.assertTrue(self.wait(lambda: len(self.servers.bounds) > n_before, 5.0))
        self.assertEqual(self.servers.bounds[-1], {"life": 4, "reuse_only": True})
        # Nothing is known against the server: its keys stay, and it is tried again.
        connection_state = self.granter.keeper.connection_state(("old", 4))
        self.assertEqual(
            (connection_state.is_broken, connection_state.failing_since_ms),
            (False, None),
        )
        self.leader.may_move = True
        del self.servers.answers["grant", "old"]
        n_before = len(self.servers.bounds)
        self.assertTrue(self.wait(lambda: len(self.servers.bounds) > n_before))

    def test_a_token_is_raised_before_a_connection_is_opened(self):
        """Guards against a restarted server that gets its old token again."""
        self.own()
        self.list_servers(server("old"))
        stored, grant = [], self.servers.grant

        def note_stored(*arguments, **bounds):
            table = self.store.objects["ramp-ranges", "parts"].spec
            stored.append((bounds["reuse_only"], arguments[4], table["tokens"]))
            return grant(*arguments, **bounds)

        self.servers.grant = note_stored
        self.servers.answers["grant", "old"] = UNCONNECTED
        self.start()
        self.assertTrue(self.wait(lambda: len(stored) >= 2))
        raised = 1 + GAP
        self.assertEqual(stored[:2], [(True, 1, [1]), (False, raised, [raised])])

    def test_a_first_grant_without_an_answer_opens_no_second_connection(self):
        """Guards against one token for two lives of a server that keys move to."""
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        self.servers.answers["grant", "new"] = SILENT
        self.start()
        self.assertTrue(self.wait(lambda: len(self.grants_to("new")) >= 3, 5.0))
        self.check_first_connections()

    def test_a_new_leader_takes_tokens_from_the_store(self):
        """Guards against one that grants by what others told of the same version."""
        self.own(token=1 + GAP)
        version = self.view.table_version("parts")
        self.view.take_table(self.view.tables["parts"], version + 1)
        told = RangeTable("parts", (KeyRange(0, N_KEYS - 1, "old", 1, 1),), {})
        self.view.tables["parts"] = told
        table = self.store.objects["ramp-ranges", "parts"]
        newer = attrs.evolve(table, version=version + 1)
        self.store.objects["ramp-ranges", "parts"] = newer
        self.list_servers(server("old"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.assertEqual(self.grants_to("old")[0], 1 + GAP)

    def test_a_new_leader_reads_the_table_before_it_acts_on_it(self):
        """Guards against renewals of owners that the last leader replaced."""
        self.own()
        moved = KeyRange(0, N_KEYS - 1, "new", 1, 1 + GAP)
        table = RangeTable("parts", (moved,), {"new": "new:80"})
        version = self.view.table_version("parts")
        self.store.put("ramp-ranges", "parts", table.to_spec(), version)
        self.list_servers(server("old"), server("new"))
        get = self.store.get
        self.store.get = lambda kind, name: Failure(UnansweredError("store is away"))
        self.start()
        gevent.sleep(0.5)
        self.assertEqual(self.servers.calls, [])
        self.store.get = get
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertEqual(self.grants_to("old"), [])

    def test_keys_are_granted_although_the_answer_of_the_write_was_lost(self):
        """Guards against keys that nobody serves until another daemon leads."""
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        put = self.store.put

        def put_unanswered(kind, name, spec, expected_version):
            result = put(kind, name, spec, expected_version)
            return result if spec["moving"] else SILENT

        self.store.put = put_unanswered
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_a_relay_without_a_connection_is_no_broken_connection(self):
        """Guards against keys that lapse in an outage because their relay is new."""
        self.own_ranges("old", 4)
        self.list_servers(server("old"))
        asked, self.leader.may_move = [], False
        relays = iter(["relay:1", "relay:2"])
        self.granter.relays = types.SimpleNamespace(
            pick=lambda name: next(relays, ""),
            send=lambda relay, name, address, items, hold_ms, are_new_tokens: (
                asked.append((relay, are_new_tokens)) or [UNCONNECTED] * len(items)
            ),
            exclude=lambda relay, server: None,
        )
        self.start()
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) >= 4))
        never = [False] * 4
        self.assertEqual(asked, [("relay:1", never), ("relay:2", never)])

    def test_a_later_life_lets_go_of_what_was_meant_for_the_earlier_one(self):
        """A server restarts while keys move to it, and is listed a moment later.

        The grant to its earlier life reached the new one. That the earlier life had
        ended seemed to prove that nobody held the keys, and a third server got them.
        """
        self.own("first")
        draining = attrs.evolve(server("first"), draining=True)
        self.list_servers(draining, server("second"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("second")))
        third = attrs.evolve(server("third"), slots=9)
        self.list_servers(server("second", life=2), third)
        self.assertTrue(self.wait(lambda: len(self.calls_after_restart()) > 1))
        self.assertEqual(self.calls_after_restart()[0][:2], ("release", "second"))

    def calls_after_restart(self):
        """Return what servers were told beyond the first token of the second one."""
        token = 1 + GAP
        calls = [c for c in self.servers.calls if c[1] != "first"]
        return [c for c in calls if c[0] == "release" or c[2] > token]

    def test_a_renewal_without_a_relays_answer_is_in_doubt(self):
        """A relay freezes with renewals in its hands, and their keys move on.

        Once it thaws it may still send them: the owner is fenced first, as after a
        renewal of the leader's own that had no answer.
        """
        self.own_ranges("old", 4)
        self.list_servers(server("old"))
        self.granter.relays = types.SimpleNamespace(
            pick=lambda name: "relay:1" if name == "old" else "",
            send=lambda relay, name, address, items, *rest: [SILENT] * len(items),
        )
        self.start()
        self.assertTrue(self.wait(lambda: len(self.doubts()) == 4))
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        self.assertTrue(self.wait(lambda: len(self.releases_of("old")) == 4))
        self.assertEqual(set(self.releases_of("old")), {FENCE})

    def own_ranges(self, owner, n_ranges):
        """Give all keys to a server in some ranges, as the store says."""
        ranges = tuple(
            KeyRange(first, last, owner, 1, 1) for first, last in even_bounds(n_ranges)
        )
        table = RangeTable("parts", ranges, {owner: f"{owner}:80"})
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.take_table(table, stored.version)

    def test_only_a_confirmed_leader_carries_on_moves(self):
        """A thawed leader and its successor carry on the same move.

        The fencing grant of the one came after the other had given the keys away: the
        old owner had them again.
        """
        self.own()
        self.list_servers(server("new"))
        self.servers.answers["release", "old"] = SILENT
        self.let_others_stop(0.0)
        self.start()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        self.leader.may_move = False
        gevent.sleep(0.4)
        before = len(self.servers.calls)
        gevent.sleep(0.8)
        self.assertEqual(len(self.servers.calls), before)
        self.servers.answers.clear()
        self.leader.may_move = True
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_a_leader_that_was_not_replaced_keeps_what_it_knows(self):
        """The store confirms a leader for nine seconds not, and then again.

        It had forgotten its grants: a hold that had seconds to run counted as ended,
        and its keys got a second owner.
        """
        self.own()
        self.list_servers(server("old"), server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.leader.leads = self.leader.may_move = False
        gevent.sleep(0.4)
        self.servers.answers |= {("grant", "old"): SILENT, ("release", "old"): SILENT}
        self.view.directory.lose("old")
        self.leader.leads = self.leader.may_move = True
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.8))
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_a_release_of_an_earlier_term_proves_nothing(self):
        """A leader takes a range back, and others lead before the store says so.

        They may have fenced the old owner once more, which gives it the range for a
        moment or, carried out late, at any moment.
        """
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        put, self.store.put = self.store.put, self.refuse_freed
        self.put = put
        self.start()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        gevent.sleep(0.3)
        before = len(self.releases_of("old"))
        self.leader.term = 5
        self.store.put = put
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertGreater(len(self.releases_of("old")), before)

    def refuse_freed(self, kind, name, spec, version):
        """Write nothing that calls a range free."""
        if not RangeTable.from_spec(spec).find(0).is_moving:
            return Failure(ConflictError(version, None))
        return self.put(kind, name, spec, version)

    def test_a_move_is_not_begun_twice(self):
        """The second run forgot the new owner's grant; the next move trusted time."""
        self.own()
        self.list_servers(attrs.evolve(server("old"), draining=True), server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.wait(lambda: not self.view.tables["parts"].find(0).is_moving)
        self.servers.answers |= {("grant", "new"): SILENT, ("release", "new"): SILENT}
        self.list_servers(server("third"))
        self.view.directory.lose("new")
        self.assertFalse(self.wait(lambda: self.grants_to("third"), 1.0))
        releases = [c for c in self.servers.calls if c[:2] == ("release", "old")]
        self.assertEqual(len(releases), 1)

    def test_a_table_that_others_have_written_is_taken_in(self):
        self.own()
        item = KeyRange(0, N_KEYS - 1, "old", 1, 9)
        other = RangeTable("parts", (item,), {"old": "old:80"})
        version = self.view.table_version("parts")
        self.store.put("ramp-ranges", "parts", other.to_spec(), version)
        self.list_servers(server("new"))
        self.start()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertEqual(self.grants_to("new")[0], 9 + GAP)
