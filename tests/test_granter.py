"""Keys move only after the earlier owner has released them; servers are scripted.

The store is a dict and the clock is moved by the tests; only the short pauses between
attempts are real.
"""

import math
import types
import unittest
from unittest import mock

import attrs
import gevent
from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.balancing import ServerSelector
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
from tarragonramp.key_load import KeyLoad
from tarragonramp.leadership import LATE_GRANT_MS, InheritedGrants, LeaseTiming
from tarragonramp.manifest import N_KEYS, FleetService, Manifest, RouteTable
from tarragonramp.model import Stored
from tarragonramp.ranges import (
    TOKEN_STEP,
    KeyRange,
    RangeTable,
    even_bounds,
    fence_token,
)
from tarragonramp.roles import granter
from tarragonramp.roles.granter import Granter

from .fleet_simulation import Store

TIMING = LeaseTiming()
FENCE = fence_token(1, 1, 0)
UNANSWERED = Failure(UnansweredError("no answer"))
REFUSED = Failure(NotSentError("refused"))
UNCONNECTED = Failure(NoConnectionError("none is open"))


class Servers:
    """Servers that record the calls they get and respond as a test defines."""

    def __init__(self):
        self.calls, self.answers, self.lost = [], {}, False
        self.bounds, self.addresses = [], []

    def has_closed_connection(self, server, address):
        """Return whether the kept connection was closed."""
        return self.lost

    def grant(self, server, address, first, last, token, *rest, **bounds):
        """Record a grant."""
        self.calls.append(("grant", server, token))
        self.bounds.append(bounds)
        self.addresses.append(("grant", server, address))
        return self.answers.get(("grant", server), Success(None))

    def release(self, server, address, first, last, token, timeout_ms):
        """Record a release."""
        self.calls.append(("release", server, token))
        self.addresses.append(("release", server, address))
        return self.answers.get(("release", server), Success("handover"))


def server(name, life=1):
    """Return a backend server of the divided service."""
    return BackendServer(name, life, "parts", f"{name}:80", "a", 3)


class Leader(types.SimpleNamespace):
    """A leader that may be replaced at once when it may not move keys."""

    @property
    def sole_until_ms(self):
        return math.inf if self.may_move else -math.inf


class GranterTest(unittest.TestCase):
    """One leader, one range of all keys, and two servers."""

    def setUp(self):
        self.clock = ManualClock(100_000.0)
        self.view = FleetView(self.clock)
        services = {"parts": FleetService("parts", divided=True)}
        self.view.update_routes(RouteTable(Manifest(1, (), services)))
        self.view.servers_loaded = True
        self.store, self.servers = Store(), Servers()
        self.leader = Leader(
            timing=TIMING,
            leads=True,
            may_move=True,
            term=1,
            inherited=InheritedGrants(-1e9, -1e9),
            recent_load=lambda service: KeyLoad({}, 0.0, 1.0),
            selector=ServerSelector("a"),
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

    def test_limited_server_counts_with_the_slots_that_it_can_use(self):
        """Guards against keys that stay with an owner in need."""
        self.register(server("s1"), server("s2"))
        self.leader.recent_load = lambda service: KeyLoad({}, 440.0, 1.0)
        now_ms = self.clock.now_ms()
        self.granter.limits.record_answer(server("s1"), 2.8, now_ms, now_ms)
        slots = {c.name: c.slots for c in self.granter._candidates("parts", None)}
        self.assertLess(slots["s1"], 1.0)
        self.assertEqual(slots["s2"], 3)

    def assign_all(self, owner="old", token=1, life=1):
        """Assign all keys to a server, in the store and in the leader's view."""
        item = KeyRange(0, N_KEYS - 1, owner, life, token)
        table = RangeTable("parts", (item,), {(owner, life): f"{owner}:80"})
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.update_table(table, stored.version)

    def register(self, *servers):
        """Add servers to the store and to the leader's view."""
        for item in servers:
            self.view.directory.upsert(item)
            self.store.objects["server", item.name] = Stored("server", "", 1, item)

    def set_previous_leader_stop(self, in_ms):
        """Let a previous leader with unknown grants stop after some time."""
        stopped_ms = self.clock.now_ms() + in_ms
        self.leader.inherited = InheritedGrants(stopped_ms, stopped_ms + LATE_GRANT_MS)

    def start_leader(self):
        """Start the leader's task."""
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
        """Return the tokens of the releases that a server got."""
        return [
            t for kind, n, t in self.servers.calls if (kind, n) == ("release", name)
        ]

    def test_running_owner_is_released_before_new_owner_is_granted(self):
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        names = [(kind, name) for kind, name, _ in self.servers.calls]
        self.assertIn(("release", "old"), names)
        self.assertLess(names.index(("release", "old")), names.index(("grant", "new")))
        self.assertEqual(set(self.grants_to("new")), {1 + TOKEN_STEP})
        settled = self.wait(lambda: not self.view.tables["parts"].find(0).is_moving)
        self.assertTrue(settled)

    def test_new_owner_is_granted_only_ranges_stored_as_free(self):
        """All daemons are killed while keys move, after some of them have been granted.

        If the store did not record which, a new leader would fence the earlier owners
        of all of them, with tokens below those of the new owners, which hold the keys.
        """
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        grant, seen = self.servers.grant, []

        def grant_and_check(name, *arguments, **bounds):
            stored = self.store.objects["ramp-ranges", "parts"].spec
            table = RangeTable.from_spec(stored)
            seen.append((name, table.find(0).is_moving))
            return grant(name, *arguments, **bounds)

        self.servers.grant = grant_and_check
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertNotIn(("new", True), seen)

    def test_unresponsive_owner_keeps_keys_until_grant_expires(self):
        self.assign_all()
        self.register(server("old"), server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers |= {("grant", "old"): REFUSED, ("release", "old"): REFUSED}
        self.view.directory.remove_server("old")
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.7))
        self.clock.advance(TIMING.hold_ms)
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.7))
        self.clock.advance(TIMING.longest_hold_ms)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_unanswered_grant_to_cut_off_server_must_expire_first(self):
        """A failure domain is cut off while its servers carry out grants late.

        A server received a grant and was unreachable for longer than the hold time; it
        carried the grant out after its keys had moved.
        """
        self.assign_all()
        self.register(server("old"), server("new"))
        self.servers.answers["grant", "old"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers |= {("grant", "old"): REFUSED, ("release", "old"): REFUSED}
        self.view.directory.remove_server("old")
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.7))
        self.clock.advance(LATE_GRANT_MS)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_grant_in_flight_does_not_count_as_expired(self):
        """A range moves on while the first grant to its owner has no response yet.

        If a grant were recorded only with its response, the owner would seem to hold
        nothing. The server could carry the grant out after the next owner got the keys.
        """
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        grant = self.servers.grant

        def grant_slowly(name, *arguments, **bounds):
            result = grant(name, *arguments, **bounds)
            if name == "new":
                gevent.sleep(1.5)
                return UNANSWERED
            return result

        self.servers.grant = grant_slowly
        self.servers.answers["release", "new"] = REFUSED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.register(server("third"))
        self.view.directory.remove_server("new")
        self.assertFalse(self.wait(lambda: self.grants_to("third"), 1.2))

    def start_with_unanswered_renewal(self):
        """Let one renewal of the leader have no response; later calls are answered."""
        self.assign_all()
        self.register(server("old"), server("new"))
        self.servers.answers["grant", "old"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers.clear()

    def test_unanswered_grant_is_fenced_before_release(self):
        """A renewal has no response and reaches the server seconds later.

        Carried out after the release, it would give the old owner its keys back while
        the new owner has them. The server has seen a higher token by then and refuses
        it.
        """
        self.start_with_unanswered_renewal()
        self.view.directory.remove_server("old")
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        calls = [c for c in self.servers.calls if c[1] == "old"]
        at = calls.index(("release", "old", FENCE))
        self.assertEqual(calls[at - 1], ("grant", "old", FENCE))

    def report_hot_keys(self, *keys, hottest_keys=()):
        """Let all daemons report load for keys, for some more than can move."""
        work = dict.fromkeys(keys, 9000.0) | dict.fromkeys(hottest_keys, 100_000.0)
        heat = KeyLoad(work, 300.0, 4300.0)
        self.leader.recent_load = lambda service: heat
        self.clock.advance(1000.0)

    def test_hot_keys_are_split_off_and_moved(self):
        """The pieces that stay are renewed under the token of the whole range."""
        self.assign_all()
        self.register(server("old"), server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.report_hot_keys(100, 101, 102, 103)
        self.assertTrue(self.wait(lambda: 1 + TOKEN_STEP in self.grants_to("new")))
        self.assertIn(("release", "old", 1), self.servers.calls)
        table = self.view.tables["parts"]
        self.assertGreater(len(table.ranges), 1)
        owners = {item.owner: item.token for item in table.ranges}
        self.assertEqual(owners, {"old": 1, "new": 1 + TOKEN_STEP})

    def test_unanswered_renewal_is_in_doubt_for_each_split_piece(self):
        """A range is split while a renewal of all of it has no response.

        The renewal could arrive after a piece was released and granted to another
        server, and would give that piece back to the old owner.
        """
        self.start_with_unanswered_renewal()
        self.report_hot_keys(100, 101, 102, 103)
        self.assertTrue(self.wait(lambda: 1 + TOKEN_STEP in self.grants_to("new")))
        self.assertIn(("release", "old", FENCE), self.servers.calls)
        self.assertNotIn(("release", "old", 1), self.servers.calls)
        in_doubt = {first for _, first, _, _ in self.in_doubt_grants()}
        kept = {i.first for i in self.view.tables["parts"].ranges if i.owner == "old"}
        self.assertLessEqual(kept, in_doubt)

    def test_fencing_one_piece_does_not_stop_renewals_of_the_others(self):
        """A renewal of the whole range reaches a server that was fenced for one piece.

        The server refuses it because of the higher token; the pieces that it keeps are
        renewed nevertheless.
        """
        self.assign_all()
        self.register(server("old"), server("new"))
        grant, delayed = self.servers.grant, []
        self.renewed_bounds = set()

        def grant_late(name, address, first, last, token, *rest, **bounds):
            if (name, first, last) == ("old", 0, N_KEYS - 1) and not delayed:
                delayed.append(True)
                gevent.sleep(1.0)
                return Failure(OvertakenGrantError("higher token"))
            if token == 1:
                self.renewed_bounds.add((first, last))
            return grant(name, address, first, last, token, *rest, **bounds)

        self.servers.grant = grant_late
        self.start_leader()
        self.assertTrue(self.wait(lambda: delayed))
        self.report_hot_keys(100, 101, 102, 103, hottest_keys=[50])
        self.assertTrue(self.wait(lambda: 1 + TOKEN_STEP in self.grants_to("new"), 5.0))
        table = self.view.tables["parts"]
        kept = {(i.first, i.last) for i in table.ranges if i.owner == "old"}
        self.assertIn(0, {first for first, _ in kept})
        renewed = self.wait(lambda: kept <= self.renewed_bounds, 8.0)
        self.assertTrue(renewed, (kept, self.renewed_bounds))

    def test_fencing_tokens_increase_with_each_attempt(self):
        """Servers carry out grants late, and a fencing grant has no response.

        If the same grant were sent again and answered, the keys would move; the first
        one could be carried out afterwards and give the keys back to the old owner.
        """
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        self.set_previous_leader_stop(0.0)
        self.servers.answers["grant", "old"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) > 2))
        self.servers.answers.clear()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        tokens = self.grants_to("old")
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertIn(("release", "old", tokens[-1]), self.servers.calls)
        self.assertLess(tokens[-1], self.grants_to("new")[0])

    def test_owner_without_fence_response_must_expire(self):
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        self.set_previous_leader_stop(0.0)
        self.servers.answers["grant", "old"] = UNANSWERED
        self.start_leader()
        self.assertFalse(self.wait(lambda: len(self.grants_to("old")) > 8, 3.5))
        self.assertEqual(self.grants_to("new"), [])
        # A grant without a response may be carried out late.
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.6))
        self.clock.advance(LATE_GRANT_MS)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_new_leader_fences_grants_of_its_predecessor(self):
        self.set_previous_leader_stop(9000.0)
        self.assign_all()
        self.register(server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertIn(("release", "old", FENCE), self.servers.calls)

    def test_new_leader_does_not_wait_for_grants_known_to_be_answered(self):
        """The previous leader reports that all its grants were answered.

        Without the report, an owner that is gone would be waited for 15 s after each
        change of leader, even if no server ever left a grant unanswered.
        """
        now_ms = self.clock.now_ms()
        self.leader.inherited = InheritedGrants(now_ms, now_ms, {})
        self.assign_all()
        self.register(server("new"))
        self.servers.answers |= {("grant", "old"): REFUSED, ("release", "old"): REFUSED}
        self.start_leader()
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.6))
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_unanswered_grants_are_reported_to_next_leader(self):
        self.assign_all()
        self.register(server("old"), server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.assertEqual(self.in_doubt_grants(), [])
        self.servers.answers["grant", "old"] = UNANSWERED
        self.clock.advance(TIMING.regrant_ms)
        self.assertTrue(self.wait(lambda: self.in_doubt_grants(), 5.0))
        (service, first, token, left_ms), *more = self.in_doubt_grants()
        self.assertEqual((service, first, token, more), ("parts", 0, 1, []))
        self.assertGreater(left_ms, LATE_GRANT_MS - 100.0)

    def in_doubt_grants(self):
        """Return the rows that a leader reports to its successor."""
        in_doubt_grants = self.granter.tracker.in_doubt_grants()
        return in_doubt_grants.to_message(self.clock.now_ms())["ranges"]

    def test_inherited_in_doubt_grants_are_reported_to_next_leader(self):
        key, until_ms = ("parts", 0, 1), self.clock.now_ms() + 5000.0
        before = InheritedGrants(self.clock.now_ms(), 0.0, {key: until_ms})
        self.leader.inherited = before
        message = self.granter.tracker.in_doubt_grants().to_message(self.clock.now_ms())
        again = InheritedGrants.from_message(message, self.clock.now_ms())
        self.assertEqual(again.doubt_ends_ms(key), until_ms)
        self.assertLess(again.doubt_ends_ms(("parts", 7, 1)), until_ms - 4000.0)

    def test_ranges_of_vanished_owners_do_not_block_other_moves(self):
        """Servers vanish, and then a failure domain is taken out.

        The ranges of the vanished servers used up the limit of concurrent moves until
        their grants expired: 40 s, in which requests for the domain's keys were
        refused.
        """
        bounds = range(0, N_KEYS, N_KEYS // 64)
        owners = ["lost"] * 60 + ["old"] * 4
        ranges = tuple(
            KeyRange(first, first + N_KEYS // 64 - 1, owner, 1, 1)
            for first, owner in zip(bounds, owners, strict=True)
        )
        table = RangeTable(
            "parts", ranges, {("lost", 1): "lost:80", ("old", 1): "old:80"}
        )
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.update_table(table, stored.version)
        self.servers.answers["release", "lost"] = REFUSED
        self.register(server("old"), server("new"))
        self.set_previous_leader_stop(0.0)
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.releases_of("lost")))
        self.register(attrs.evolve(server("old"), draining=True))
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        self.assertTrue(self.wait(lambda: len(self.grants_to("new")) >= 4))

    def test_reused_address_proves_release(self):
        """55 keys once went to another server at the address, with the old token."""
        self.assign_all()
        self.register(server("new"))
        wrong = Failure(WrongServerError("another server"))
        self.set_previous_leader_stop(0.0)
        self.servers.answers |= {("grant", "old"): wrong, ("release", "old"): wrong}
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertEqual(self.grants_to("new")[0], 1 + TOKEN_STEP)

    def test_listed_address_of_another_server_proves_nothing(self):
        """Guards against two owners because of what another program has stored."""
        other = attrs.evolve(server("other", life=9), address="old:80", service="x")
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"), other)
        self.set_previous_leader_stop(0.0)
        self.servers.answers["release", "old"] = Failure(UnansweredError("silent"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        gevent.sleep(0.3)
        self.assertEqual(self.grants_to("new"), [])

    def answer_misdirected(self, address):
        """Have another server answer for ``old`` at an address."""
        release = self.servers.release

        def release_there(name, at, *arguments):
            result = release(name, at, *arguments)
            if (name, at) == ("old", address):
                return Failure(WrongServerError("another server"))
            return result

        self.servers.release = release_there

    def check_release_despite(self, listed):
        """Fail unless ``old`` is asked where it was granted keys, and nowhere else."""
        self.assign_all()
        self.register(attrs.evolve(listed, draining=True), server("new"))
        self.set_previous_leader_stop(0.0)
        self.answer_misdirected(listed.address)
        self.servers.answers["release", "old"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        gevent.sleep(0.3)
        self.assertEqual(self.grants_to("new"), [])
        asked = {at for _, name, at in self.servers.addresses if name == "old"}
        self.assertEqual(asked, {"old:80"})

    def test_owner_is_released_at_the_address_of_its_grants(self):
        """Guards against the answer of another server as proof of the owner's end."""
        self.check_release_despite(attrs.evolve(server("old"), address="other:80"))

    def test_later_life_at_another_address_is_not_asked_for_the_earlier_one(self):
        """Guards against a listed later life whose address is another server's."""
        later = attrs.evolve(server("old", life=2), address="other:80")
        self.check_release_despite(later)

    def test_fence_is_sent_to_the_earlier_life_of_the_new_owner(self):
        """Guards against a fence that closes the connections to the new process."""
        item = KeyRange(0, N_KEYS - 1, "old", 1, 1).moved_to("old", 2)
        places = {("old", 1): "old:80", ("old", 2): "later:80"}
        table = RangeTable("parts", (item,), places)
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.update_table(table, stored.version)
        self.register(attrs.evolve(server("old", life=2), address="later:80"))
        self.set_previous_leader_stop(0.0)
        self.start_leader()
        self.assertTrue(self.wait(lambda: FENCE in self.grants_to("old")))
        self.assertEqual(self.servers.bounds[0]["life"], 1)
        self.assertEqual(self.servers.addresses[0], ("grant", "old", "old:80"))

    def test_owner_listed_at_another_address_gets_no_more_keys(self):
        """Guards against renewals that go to the address that is listed now."""
        self.assign_all()
        elsewhere = attrs.evolve(server("old"), address="other:80")
        self.register(elsewhere, server("new"))
        self.servers.answers["release", "old"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        self.assertEqual({at for *_, at in self.servers.addresses}, {"old:80"})
        item = self.view.tables["parts"].find(0)
        self.assertEqual((item.owner, item.old_identity), ("new", ("old", 1)))
        self.servers.answers.clear()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_owner_that_releases_keys_gets_none_at_another_address(self):
        """Guards against a release that goes where only new keys were granted."""
        ranges = (
            KeyRange(0, 9, "old", 1, 1).moved_to("new", 1),
            KeyRange(10, N_KEYS - 1, "new", 1, 1),
        )
        places = {("old", 1): "old:80", ("new", 1): "new:80"}
        table = RangeTable("parts", ranges, places)
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.update_table(table, stored.version)
        elsewhere = attrs.evolve(server("old"), address="other:80")
        self.register(elsewhere, attrs.evolve(server("new"), draining=True))
        self.servers.answers["release", "old"] = UNANSWERED
        self.set_previous_leader_stop(0.0)
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(self.releases_of("old")) >= 4))
        asked = {at for _, name, at in self.servers.addresses if name == "old"}
        self.assertEqual(asked, {"old:80"})

    def test_owner_that_has_no_keys_left_is_granted_at_its_new_address(self):
        """Guards against a server that gets no keys as it once had another address."""
        self.assign_all()
        elsewhere = attrs.evolve(server("old"), address="other:80")
        self.register(elsewhere, server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        draining = attrs.evolve(server("new"), draining=True)
        self.register(draining)
        granted = ("grant", "old", "other:80")
        self.assertTrue(self.wait(lambda: granted in self.servers.addresses))
        self.assertNotIn(("release", "old", "other:80"), self.servers.addresses)

    def test_restarted_owner_gets_higher_token(self):
        self.assign_all()
        self.register(server("old", life=2))
        self.start_leader()
        self.assertTrue(self.wait(lambda: 1 + TOKEN_STEP in self.grants_to("old")))
        self.assertNotIn(1, self.grants_to("old"))

    def test_tokens_are_raised_after_failed_grant(self):
        """Otherwise a restarted, not yet listed process would get the old token."""
        self.assign_all()
        self.register(server("old"))
        self.servers.answers["grant", "old"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.servers.answers.clear()
        before = len(self.grants_to("old"))
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) > before))
        self.check_first_connections()
        self.assertNotIn(1, self.grants_to("old")[before:])

    def test_tokens_are_raised_after_closed_connection(self):
        """The server may have restarted between two renewals."""
        self.assign_all()
        self.register(server("old"))
        self.start_leader()
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

    def test_no_connection_is_opened_while_store_cannot_be_written(self):
        """Otherwise a server that restarts in an outage would get the old token.

        Once the store accepts writes again, its keys are renewed.
        """
        self.assign_all()
        self.register(server("old"))
        self.start_leader()
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
        # A leader that knows that it is cut off from the store does not call it.
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

    def test_missing_renewals_are_logged_once_per_attempt(self):
        """Guards against a server that loses its keys without a line that tells why."""
        self.assign_ranges("old", 4)
        self.register(server("old"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) >= 4))
        logged = []
        note = lambda event, **fields: logged.append((event, fields))
        with mock.patch.object(granter, "log_event", note):
            self.leader.may_move, self.servers.lost = False, True
            self.clock.advance(TIMING.regrant_ms)
            self.assertTrue(self.wait(lambda: len(logged) >= 2, 5.0))
            closed, not_renewed = logged[:2]
            self.assertEqual(closed, ("server-closed-connection", {"server": "old"}))
            self.assertEqual(not_renewed[0], "server-not-renewed")
            self.assertEqual(not_renewed[1]["ranges"], 4)
            self.servers.lost, self.leader.may_move = False, True
            self.servers.answers["grant", "old"] = UNCONNECTED
            renewed = self.wait(lambda: len(self.grants_to("old")) >= 8, 5.0)
            self.assertTrue(renewed)
            self.leader.may_move = False
            logged.clear()
            self.assertTrue(self.wait(lambda: logged, 5.0))
            self.assertEqual(logged[0][1]["reason"], "no open connection")
            self.assertEqual(logged[0][1]["ranges"], 4)

    def test_refused_writes_are_retried_with_delay(self):
        """Immediate retries would exceed the rate limit of a refusing store."""
        self.assign_all()
        self.register(server("old"))
        asked = []

        def refuse(kind, name, spec, version):
            asked.append(name)
            return Failure(UnansweredError("too many calls"))

        self.store.put = refuse
        self.servers.lost = True
        self.start_leader()
        gevent.sleep(1.5)
        self.assertIn(len(asked), range(2, 8))

    def test_closed_connection_is_recorded_until_tokens_are_raised(self):
        """Otherwise a restarted server gets the old token over a new connection."""
        self.assign_all()
        self.register(server("old"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.leader.may_move = False
        closed = iter([True])
        self.servers.has_closed_connection = lambda *peer: next(closed, False)
        before = len(self.grants_to("old"))
        gevent.sleep(TIMING.regrant_ms / 1000.0 + 3.0)
        self.assertEqual(len(self.grants_to("old")), before)

    def test_renewals_without_store_use_only_open_connections(self):
        """Otherwise a restarted server would get the token of the process before."""
        self.assign_all(life=4)
        self.register(server("old", life=4))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.assertEqual(self.servers.bounds[-1], {"life": 4, "reuse_only": True})
        self.leader.may_move = False
        self.servers.answers["grant", "old"] = UNCONNECTED
        n_before = len(self.servers.bounds)
        self.assertTrue(self.wait(lambda: len(self.servers.bounds) > n_before, 5.0))
        self.assertEqual(self.servers.bounds[-1], {"life": 4, "reuse_only": True})
        # No failure of the server is known: it keeps its keys, and renewals are
        # retried.
        connection_state = self.granter.tracker.connection_state(("old", 4))
        self.assertEqual(
            (connection_state.is_broken, connection_state.failing_since_ms),
            (False, None),
        )
        self.leader.may_move = True
        del self.servers.answers["grant", "old"]
        n_before = len(self.servers.bounds)
        self.assertTrue(self.wait(lambda: len(self.servers.bounds) > n_before))

    def test_unconfirmed_leader_sends_no_new_token(self):
        """Guards against a token that the next leader has raised meanwhile."""
        self.assign_all()
        self.register(server("old"))
        self.servers.answers["grant", "old"] = UNCONNECTED
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.opened_connections()))
        may_send = self.opened_connections()[0]["may_send"]
        self.assertTrue(may_send())
        self.leader.may_move = False
        self.assertFalse(may_send())
        n_opened, n_grants = len(self.opened_connections()), len(self.servers.bounds)
        self.assertTrue(self.wait(lambda: len(self.servers.bounds) > n_grants + 2))
        self.assertEqual(len(self.opened_connections()), n_opened)
        self.leader.may_move = True
        self.assertTrue(self.wait(lambda: len(self.opened_connections()) > n_opened))

    def opened_connections(self):
        """Return the options of the grants that may have opened a connection."""
        return [bounds for bounds in self.servers.bounds if not bounds["reuse_only"]]

    def test_handover_waits_for_confirmed_leader(self):
        """Guards against state of the old owner that is lost in a short outage."""
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        grant, handovers = self.servers.grant, []

        def grant_if_confirmed(name, address, first, last, token, *rest, **bounds):
            if name == "new" and bounds["reuse_only"] and not handovers:
                return UNCONNECTED
            if name == "new":
                handovers.append(rest[1])
            return grant(name, address, first, last, token, *rest, **bounds)

        release = self.servers.release

        def release_and_lose_store(*arguments):
            put = self.store.put

            def put_and_lose_store(*written):
                self.leader.may_move, self.store.put = False, put
                return put(*written)

            self.store.put = put_and_lose_store
            return release(*arguments)

        self.servers.grant = grant_if_confirmed
        self.servers.release = release_and_lose_store
        self.start_leader()
        self.assertTrue(self.wait(lambda: not self.leader.may_move))
        gevent.sleep(0.6)
        self.assertEqual(handovers, [])
        self.leader.may_move = True
        self.assertTrue(self.wait(lambda: handovers))
        self.assertEqual(handovers[0], "handover")

    def test_token_is_raised_before_connection_is_opened(self):
        """Otherwise a restarted server would get its old token again."""
        self.assign_all()
        self.register(server("old"))
        stored, grant = [], self.servers.grant

        def note_stored(*arguments, **bounds):
            table = self.store.objects["ramp-ranges", "parts"].spec
            stored.append((bounds["reuse_only"], arguments[4], table["tokens"]))
            return grant(*arguments, **bounds)

        self.servers.grant = note_stored
        self.servers.answers["grant", "old"] = UNCONNECTED
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(stored) >= 2))
        raised = 1 + TOKEN_STEP
        self.assertEqual(stored[:2], [(True, 1, [1]), (False, raised, [raised])])

    def test_unanswered_first_grant_opens_no_second_connection(self):
        """Otherwise two processes of the new owner could get the same token."""
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        self.servers.answers["grant", "new"] = UNANSWERED
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(self.grants_to("new")) >= 3, 5.0))
        self.check_first_connections()

    def test_new_leader_uses_tokens_from_store(self):
        """Other daemons may pass on the same version of the table with older tokens."""
        self.assign_all(token=1 + TOKEN_STEP)
        version = self.view.table_version("parts")
        self.view.update_table(self.view.tables["parts"], version + 1)
        outdated = RangeTable("parts", (KeyRange(0, N_KEYS - 1, "old", 1, 1),), {})
        self.view.tables["parts"] = outdated
        table = self.store.objects["ramp-ranges", "parts"]
        newer = attrs.evolve(table, version=version + 1)
        self.store.objects["ramp-ranges", "parts"] = newer
        self.register(server("old"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.assertEqual(self.grants_to("old")[0], 1 + TOKEN_STEP)

    def test_new_leader_reads_table_before_acting(self):
        """Otherwise it would renew owners that the previous leader replaced."""
        self.assign_all()
        moved = KeyRange(0, N_KEYS - 1, "new", 1, 1 + TOKEN_STEP)
        table = RangeTable("parts", (moved,), {("new", 1): "new:80"})
        version = self.view.table_version("parts")
        self.store.put("ramp-ranges", "parts", table.to_spec(), version)
        self.register(server("old"), server("new"))
        get = self.store.get
        self.store.get = lambda kind, name: Failure(UnansweredError("store is away"))
        self.start_leader()
        gevent.sleep(0.5)
        self.assertEqual(self.servers.calls, [])
        self.store.get = get
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertEqual(self.grants_to("old"), [])

    def test_keys_are_granted_after_lost_write_response(self):
        """Otherwise no server would own the keys until another daemon leads."""
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        put = self.store.put

        def put_unanswered(kind, name, spec, expected_version):
            result = put(kind, name, spec, expected_version)
            return result if spec["moving"] else UNANSWERED

        self.store.put = put_unanswered
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_relay_without_connection_is_not_a_broken_connection(self):
        """Otherwise grants would expire in an outage because their relay is new."""
        self.assign_ranges("old", 4)
        self.register(server("old"))
        asked, self.leader.may_move = [], False
        relays = iter(["relay:1", "relay:2"])
        self.granter.relays = types.SimpleNamespace(
            pick=lambda name: next(relays, ""),
            send=lambda relay, name, address, items, hold_ms, are_new_tokens: (
                asked.append((relay, are_new_tokens)) or [UNCONNECTED] * len(items)
            ),
            exclude=lambda relay, server: None,
        )
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(self.grants_to("old")) >= 4))
        never = [False] * 4
        self.assertEqual(asked, [("relay:1", never), ("relay:2", never)])

    def test_restarted_owner_is_released_before_keys_move_on(self):
        """A server restarts while keys move to it, and is listed a moment later.

        The grant to its earlier process reached the new one. The end of the earlier
        process alone seemed to prove that no server held the keys, and a third server
        got them.
        """
        self.assign_all("first")
        draining = attrs.evolve(server("first"), draining=True)
        self.register(draining, server("second"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("second")))
        third = attrs.evolve(server("third"), slots=9)
        self.register(server("second", life=2), third)
        self.assertTrue(self.wait(lambda: len(self.calls_beyond_first_token()) > 1))
        self.assertEqual(self.calls_beyond_first_token()[0][:2], ("release", "second"))

    def calls_beyond_first_token(self):
        """Return the calls to later owners beyond the second one's first token."""
        token = 1 + TOKEN_STEP
        calls = [c for c in self.servers.calls if c[1] != "first"]
        return [c for c in calls if c[0] == "release" or c[2] > token]

    def test_relayed_renewal_without_response_is_in_doubt(self):
        """A relay is paused with unsent renewals, and their keys move on.

        Once it resumes, it may still send them. The owner is fenced first, as after an
        unanswered renewal of the leader itself.
        """
        self.assign_ranges("old", 4)
        self.register(server("old"))
        self.granter.relays = types.SimpleNamespace(
            pick=lambda name: "relay:1" if name == "old" else "",
            send=lambda relay, name, address, items, *rest: [UNANSWERED] * len(items),
        )
        self.start_leader()
        self.assertTrue(self.wait(lambda: len(self.in_doubt_grants()) == 4))
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        self.assertTrue(self.wait(lambda: len(self.releases_of("old")) == 4))
        self.assertEqual(set(self.releases_of("old")), {FENCE})

    def assign_ranges(self, owner, n_ranges):
        """Assign all keys to a server in several ranges, in the store and the view."""
        ranges = tuple(
            KeyRange(first, last, owner, 1, 1) for first, last in even_bounds(n_ranges)
        )
        table = RangeTable("parts", ranges, {(owner, 1): f"{owner}:80"})
        stored = self.store.put("ramp-ranges", "parts", table.to_spec(), 0).unwrap()
        self.view.update_table(table, stored.version)

    def test_unconfirmed_leader_does_not_continue_moves(self):
        """A leader that resumes after a pause continues the same move as its successor.

        Its fencing grant would come after the successor granted the keys to the new
        owner, and the old owner would have them again.
        """
        self.assign_all()
        self.register(server("new"))
        self.servers.answers["release", "old"] = UNANSWERED
        self.set_previous_leader_stop(0.0)
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        self.leader.may_move = False
        gevent.sleep(0.4)
        before = len(self.servers.calls)
        gevent.sleep(0.8)
        self.assertEqual(len(self.servers.calls), before)
        self.servers.answers.clear()
        self.leader.may_move = True
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_grants_are_kept_if_leader_was_not_replaced(self):
        """The store does not confirm a leader for nine seconds, and then does again.

        If the leader discarded its grants, a hold with seconds left would count as
        expired, and its keys would get a second owner.
        """
        self.assign_all()
        self.register(server("old"), server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("old")))
        self.leader.leads = self.leader.may_move = False
        gevent.sleep(0.4)
        self.servers.answers |= {
            ("grant", "old"): UNANSWERED,
            ("release", "old"): UNANSWERED,
        }
        self.view.directory.remove_server("old")
        self.leader.leads = self.leader.may_move = True
        self.assertFalse(self.wait(lambda: self.grants_to("new"), 0.8))
        self.clock.advance(TIMING.longest_hold_ms + 100.0)
        self.assertTrue(self.wait(lambda: self.grants_to("new")))

    def test_release_from_earlier_term_is_no_proof(self):
        """Other daemons lead between a release and the write that records it.

        They may have fenced the old owner again, which gives it the range for a moment
        or, if carried out late, at any time.
        """
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        put, self.store.put = self.store.put, self.reject_free_ranges
        self.put = put
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.releases_of("old")))
        gevent.sleep(0.3)
        before = len(self.releases_of("old"))
        self.leader.term = 5
        self.store.put = put
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertGreater(len(self.releases_of("old")), before)

    def reject_free_ranges(self, kind, name, spec, version):
        """Reject writes that record a range as free."""
        if not RangeTable.from_spec(spec).find(0).is_moving:
            return Failure(ConflictError(version, None))
        return self.put(kind, name, spec, version)

    def test_move_is_started_once(self):
        """A second run would discard the new owner's grant from the records.

        The next move would then assume that the grant had expired.
        """
        self.assign_all()
        self.register(attrs.evolve(server("old"), draining=True), server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.wait(lambda: not self.view.tables["parts"].find(0).is_moving)
        self.servers.answers |= {
            ("grant", "new"): UNANSWERED,
            ("release", "new"): UNANSWERED,
        }
        self.register(server("third"))
        self.view.directory.remove_server("new")
        self.assertFalse(self.wait(lambda: self.grants_to("third"), 1.0))
        releases = [c for c in self.servers.calls if c[:2] == ("release", "old")]
        self.assertEqual(len(releases), 1)

    def test_conflicting_table_is_adopted(self):
        self.assign_all()
        item = KeyRange(0, N_KEYS - 1, "old", 1, 9)
        other = RangeTable("parts", (item,), {("old", 1): "old:80"})
        version = self.view.table_version("parts")
        self.store.put("ramp-ranges", "parts", other.to_spec(), version)
        self.register(server("new"))
        self.start_leader()
        self.assertTrue(self.wait(lambda: self.grants_to("new")))
        self.assertEqual(self.grants_to("new")[0], 9 + TOKEN_STEP)
