"""The keeper of usage caps, with other daemons and the store as small fakes."""

import base64
import json
import types
import unittest
import zlib

import attrs
from returns.result import Failure, Success

from tarragonramp import ManualClock
from tarragonramp.api_keys import ApiKeyIndex, CallerTeam
from tarragonramp.errors import UnansweredError
from tarragonramp.fleet_view import FleetView
from tarragonramp.leadership import InheritedGrants, LeaderRecord
from tarragonramp.limits import PART_STEPS, CapBounds, UsageCap
from tarragonramp.manifest import Manifest, RouteTable
from tarragonramp.roles.caps import CapKeeper, without_promises

CAP = UsageCap(100.0, 100.0)
TEAM = CallerTeam("a", 0, CAP)
NEVER_MS = 1e9


@attrs.define(eq=False)
class Leader:
    """What a keeper sees of leadership."""

    leads: bool = True
    term: int = 1
    boot_id: str = "b1"
    address: str = "d1:1"
    leader_address: str = "d1:1"
    sole_until_ms: float = NEVER_MS
    inherited_holders: str = ""
    inherited: InheritedGrants = InheritedGrants()


@attrs.define(eq=False)
class Peers:
    """Answers questions to other daemons by address; silent ones fail."""

    keepers: dict = attrs.Factory(dict)
    asked: list = attrs.Factory(list)

    def ask_shares(self, address, message, timeout_ms):
        """Return the answer of the keeper at an address."""
        self.asked.append(address)
        if address not in self.keepers:
            return Failure(UnansweredError("timed out"))
        return Success(self.keepers[address].handle_question(message))


class CapKeeperTest(unittest.TestCase):
    """One leader and two other daemons of its failure domain."""

    def setUp(self):
        self.clock, self.peers = ManualClock(), Peers()
        self.first = self.keeper("d1", Leader())
        other = types.SimpleNamespace(
            leads=False, address="d2:1", leader_address="d1:1"
        )
        self.second = self.keeper("d2", other)
        self.third = self.keeper(
            "d3", types.SimpleNamespace(**{**vars(other), "address": "d3:1"})
        )

    def keeper(self, name, leadership, has_teams=True):
        """Return a keeper whose manifest has a team, or does not know of teams."""
        view = FleetView(self.clock)
        index = ApiKeyIndex.from_teams([(TEAM, ["k"])]) if has_teams else None
        view.update_routes(RouteTable(Manifest(1, teams=index)))
        view.daemons = {f"d{i}": f"d{i}:1" for i in (1, 2, 3)}
        view.daemon_domains = dict.fromkeys(view.daemons, "x")
        keeper = CapKeeper(name, 1, view, self.peers, self.clock, CapBounds())
        keeper.leadership = leadership
        self.peers.keepers[f"{name}:1"] = keeper
        return keeper

    def renew(self, keeper):
        """Have the store confirm a leader's record; return its text."""
        text = keeper.record_to_write()
        keeper.confirm_record(text)
        return text

    def ping(self, keeper):
        """Exchange a keeper's report with the leader."""
        sent_ms = self.clock.now_ms()
        keeper.apply(self.first.answer(keeper.name, keeper.to_report()), sent_ms)

    def take(self, keeper):
        """Return the Denial of a request, or None."""
        return keeper.take(TEAM, True, self.clock.now_ms() + 1000.0)

    def test_without_teams_a_leader_writes_what_it_wrote_before(self):
        """Guards against a leader without caps that fails to renew its record."""
        keeper = self.keeper("d1", Leader(), False)
        self.assertEqual(self.renew(keeper), "")
        self.assertIsNone(keeper.to_report())
        self.assertIsNone(keeper.answer("d2", None))
        keeper.renew_own()
        keeper.hear("d2", {"boot": 1})
        keeper.apply(None, 0.0)
        self.assertNotIn("holders", LeaderRecord("n", "b", "a", 1).to_spec())

    def lend(self, name):
        """Have a daemon be the lender of the team in its failure domain."""
        lender = types.SimpleNamespace(
            update=lambda daemons, domains: None,
            lender=lambda team, domain: name,
            others=lambda team, domain: [],
            parts=lambda daemon, teams: dict.fromkeys(teams, float(daemon == name)),
        )
        for keeper in (self.first, self.second, self.third):
            keeper._lenders = lender

    def test_a_daemon_without_a_token_asks_its_lender_and_then_the_leader(self):
        self.lend("d3")
        self.renew(self.first)
        self.assertIsNone(self.take(self.second))
        self.assertEqual(self.peers.asked, ["d3:1", "d1:1"])

    def test_a_token_of_the_own_failure_domain_needs_no_leader(self):
        """Guards against requests that fail while there is no leader."""
        self.lend("d3")
        for _ in range(4):
            self.renew(self.first)
            self.ping(self.third)
            self.clock.advance(1000.0)
        del self.peers.keepers["d1:1"]
        for _ in range(20):
            self.assertIsNone(self.take(self.second))
            self.clock.advance(100.0)
        self.assertNotIn("d1:1", self.peers.asked)

    def test_a_lender_that_does_not_answer_is_not_asked_again_at_once(self):
        """Guards against requests that wait for a lost lender, one after another."""
        self.lend("d3")
        self.renew(self.first)
        del self.peers.keepers["d3:1"]
        for _ in range(3):
            self.take(self.second)
        self.assertEqual(self.peers.asked.count("d3:1"), 1)

    def test_a_silent_leader_is_not_asked_again_at_once(self):
        del self.peers.keepers["d1:1"]
        for _ in range(3):
            denial = self.take(self.second)
            self.assertFalse(denial.is_cap_reached)
        self.assertEqual(self.peers.asked.count("d1:1"), 1)

    def test_a_token_is_borrowed_while_the_leader_is_silent(self):
        self.renew(self.first)
        for _ in range(20):
            self.take(self.third)
            self.renew(self.first)
            self.ping(self.third)
            self.clock.advance(300.0)
        self.clock.advance(500.0)
        del self.peers.keepers["d1:1"]
        self.assertIsNone(self.take(self.second))

    def test_a_reached_cap_is_told_with_a_time(self):
        self.renew(self.first)
        denials = [self.take(self.second) for _ in range(300)]
        denied = [denial for denial in denials if denial is not None]
        self.assertTrue(denied)
        self.assertTrue(all(denial.is_cap_reached for denial in denied))
        self.assertTrue(all(0.0 < denial.retry_ms <= 1000.0 for denial in denied))

    def test_what_was_dealt_is_recorded_before(self):
        """Guards against a successor that does not know of a share."""
        self.renew(self.first)
        for _ in range(10):
            self.take(self.second)
            self.clock.advance(100.0)
        unrecorded = self.first.answer("d2", self.second.to_report())
        self.assertEqual(unrecorded.get("shares", {}), {})
        text = self.renew(self.first)
        self.clock.advance(1500.0)
        recorded = self.first.answer("d2", self.second.to_report())
        self.assertGreater(recorded["shares"]["a"][0], 0.0)
        successor = Leader(term=2, boot_id="b2", inherited_holders=text)
        keeper = self.keeper("d3", successor)
        keeper.record_to_write()
        self.assertIn("d2", keeper._dealer.unreported)

    def test_tokens_are_left_to_one_successor(self):
        """Guards against tokens that two dealers give out."""
        text = self.renew(self.first)
        self.clock.advance(1000.0)
        for _ in range(300):
            self.take(self.first)
        n_first = self.first.counts["a", "sent"]
        # The record was written with the burst as balance, half of which it promises.
        bounds = CapBounds()
        self.assertLessEqual(n_first, bounds.depth(CAP) - CAP.burst / 2)
        keeper = self.keeper("d3", Leader(term=2, boot_id="b2", inherited_holders=text))
        for _ in range(300):
            self.take(keeper)
        n_second = keeper.counts["a", "sent"]
        self.assertGreater(n_second, 40)
        self.assertLessEqual(n_first + n_second, bounds.depth(CAP) + CAP.rate_per_s)
        written = without_promises(text)
        third = self.keeper(
            "d2", Leader(term=3, boot_id="b3", inherited_holders=written)
        )
        for _ in range(300):
            self.take(third)
        tolerated = CapBounds().tolerance(CAP)
        self.assertLess(third.counts["a", "sent"], 0.1 * tolerated + 1.0)

    def test_an_unreadable_record_is_taken_for_none(self):
        for text in ("x", "eJw=", "e30="):
            leader = Leader(term=2, inherited_holders=text)
            keeper = self.keeper("d1", leader)
            self.assertIsInstance(keeper.record_to_write(), str)

    def test_a_record_of_an_earlier_build_counts_at_least_as_much(self):
        """Guards against a sum that is exceeded while a fleet is being replaced."""
        held = {"d2": {"a": 7}, "": {"a": 40}}
        text = base64.b64encode(zlib.compress(json.dumps(held).encode())).decode()
        keeper = self.keeper("d3", Leader(term=2, boot_id="b2", inherited_holders=text))
        keeper.record_to_write()
        steps = keeper._dealer.unreported["d2"]["a"]
        self.assertGreaterEqual(steps / PART_STEPS, 7 / 35)
        self.assertEqual(keeper._dealer.inherited, {"a": 40})

    def test_counts_are_kept_for_the_largest_teams_only(self):
        for i in range(50):
            self.first.counts[f"t{i}", "sent"] = i
        counts = self.first.request_counts()
        self.assertEqual(len(counts), 21)
        self.assertEqual(sum(counts.values()), sum(range(50)))


if __name__ == "__main__":
    unittest.main()
