"""API keys of teams: the index, the manifest, and what a router does with them."""

import math
import types
import unittest

import attrs

from standins.fleet_site import manifest
from tarragonramp.api_keys import ANONYMOUS, ApiKeyIndex, CallerTeam, key_mark
from tarragonramp.delegation import Delegation
from tarragonramp.dialect import RequestFacts
from tarragonramp.errors import RequestError
from tarragonramp.limits import UsageCap
from tarragonramp.manifest import Manifest, Route, RouteTable, WeightedService
from tarragonramp.meters import NOT_RUN
from tarragonramp.roles.caps import Denial

from .test_platform_folder import HttpDialect, read_manifest
from .test_router import OK, SHED, UNANSWERED, Dialect, RouterTestCase

KEY = "h5mgjy5rcpihhacrudde"
CAP = UsageCap(10.0, 5.0)


class IndexTest(unittest.TestCase):
    """Keys find their teams; what is ambiguous is refused."""

    def test_a_key_finds_its_team(self):
        first, second = CallerTeam("first"), CallerTeam("second", 0, CAP)
        index = ApiKeyIndex.from_teams([(first, ["a", "b"]), (second, ["c"])])
        found = [index.find(key) for key in ("a", "b", "c", "d", "", None, "ä")]
        self.assertEqual(found, [first, first, second, None, None, None, None])
        self.assertEqual(index.caps, {"second": CAP})

    def test_what_is_ambiguous_or_no_number_is_refused(self):
        team = CallerTeam
        for teams in (
            [(team("a"), ["k"]), (team("b"), ["k"])],
            [(team("a"), ["k"]), (team("a"), ["l"])],
            [(team(""), ["k"])],
            [(team("a"), [""])],
            [(team("a"), [7])],
            [(team("a", 0, UsageCap(-1.0, 0.0)), ["k"])],
            [(team("a", 0, UsageCap(float("nan"), 0.0)), ["k"])],
        ):
            with self.subTest(teams=teams), self.assertRaises(ValueError):
                ApiKeyIndex.from_teams(teams)

    def test_an_error_names_no_key(self):
        teams = [(CallerTeam("a"), [KEY]), (CallerTeam("b"), [KEY])]
        with self.assertRaisesRegex(ValueError, key_mark(KEY)) as raised:
            ApiKeyIndex.from_teams(teams)
        self.assertNotIn(KEY, str(raised.exception))


class PlatformTest(unittest.TestCase):
    """The platform's manifest and headers."""

    @classmethod
    def setUpClass(cls):
        cls.dialect = HttpDialect()

    def parse(self, *teams):
        """Return the Result for a manifest with teams."""
        return read_manifest({**manifest(3), "tenants": list(teams)})

    def test_teams_are_read(self):
        teams = self.parse(
            {"name": "a", "apiKeys": [KEY], "priority": 0, "ratePerS": 9, "burst": 4},
            {"name": "b", "apiKeys": ["other"], "ratePerS": 0, "burst": 4},
            {"name": "c"},
        ).unwrap()
        found = teams.teams.find(KEY)
        self.assertEqual(found, CallerTeam("a", 0, UsageCap(9.0, 4.0)))
        self.assertIsNone(teams.teams.find("other").cap)

    def test_a_manifest_without_teams_needs_no_keys(self):
        self.assertIsNone(read_manifest(manifest(3)).unwrap().teams)

    def test_invalid_teams_refuse_the_manifest(self):
        good = {"name": "a", "apiKeys": [KEY], "ratePerS": 9, "burst": 4}
        for teams in (
            [good, {**good, "name": "b"}],
            [{**good, "name": ""}],
            [{**good, "name": "a b"}],
            [{**good, "name": None}],
            [{**good, "ratePerS": -1}],
            [{**good, "ratePerS": "9"}],
            [{**good, "ratePerS": True}],
            [{**good, "burst": -1}],
            [{**good, "apiKeys": KEY}],
            [{**good, "priority": "high"}],
            ["a"],
        ):
            with self.subTest(teams=teams):
                error = self.parse(*teams).failure()
                self.assertNotIn(KEY, str(error))

    def test_keys_are_read_from_their_scheme_only(self):
        for text, key in (
            (f"Token {KEY}", KEY),
            (f"token  {KEY} ", KEY),
            (f"Bearer {KEY}", None),
            (KEY, None),
            ("Token", None),
            ("Token ", None),
            ("", None),
        ):
            with self.subTest(text=text):
                facts = self.dialect.read_request([("authorization", text)])
                self.assertEqual(facts.api_key, key)
                self.assertNotIn(KEY, repr(facts))

    def test_servers_get_the_team_and_never_the_key(self):
        """Guards against a key passed on, and a team that a caller claims."""
        headers = [("authorization", f"Token {KEY}"), ("tenant", "forged"), ("a", "b")]
        team = CallerTeam("a")
        sent = self.dialect.server_headers(headers, "i-1", 100.0, team)
        names = [name.lower() for name, _ in sent]
        self.assertNotIn("authorization", names)
        self.assertEqual([v for n, v in sent if n.lower() == "tenant"], ["a"])
        sent = self.dialect.server_headers(headers, "i-1", 100.0, ANONYMOUS)
        left = {name.lower() for name, _ in sent} & {"authorization", "tenant"}
        self.assertEqual(left, set())

    def test_without_teams_all_headers_are_passed_on(self):
        headers = [("authorization", "Basic x"), ("tenant", "t")]
        sent = self.dialect.server_headers(headers, "i-1", 100.0)
        self.assertEqual(sent[:2], headers)


@attrs.define
class KeyDialect(Dialect):
    """Has a request present a key, and records what servers get."""

    key: str | None = KEY
    teams_sent: list = attrs.Factory(list)

    def read_request(self, headers):
        """Return the facts of a caller's request."""
        return RequestFacts("r1", "h", 1000.0, None, self.key)

    def server_headers(self, headers, server, left_ms, team=None):
        """Record the team that is named to a server."""
        self.teams_sent.append(None if team is None else team.name)
        return []


@attrs.define
class Tokens:
    """A keeper of caps with a number of tokens."""

    n_tokens: int = 5
    denial: object = Denial(True, 400.0)

    def take(self, team, is_first, until_ms):
        """Take a token."""
        if not self.n_tokens:
            return self.denial
        self.n_tokens -= 1
        return None

    def give_back(self, team):
        """Return a token."""
        self.n_tokens += 1


class RouterTest(RouterTestCase):
    """Requests with and without keys; tokens of caps taken and given back."""

    def setUp(self):
        super().setUp()
        self.router.dialect = self.dialect = KeyDialect()
        self.router.caps = self.caps = Tokens()
        self.put_in_force(2, [KEY])

    def put_in_force(self, version, keys, team="a", public=False):
        """Put a manifest in force in which a team holds some keys."""
        routes = tuple(
            Route("h", prefix, (WeightedService("desk"),), safe, 1000.0, 500.0, 3)
            for prefix, safe in (("/safe/", True), ("/once/", False))
        )
        open_to_all = Route(
            "h", "/open/", (WeightedService("desk"),), True, 1000.0, 500.0, public=True
        )
        teams = ApiKeyIndex.from_teams([(CallerTeam(team, 1, CAP), keys)])
        services = self.view.manifest.services
        manifest = Manifest(version, (*routes, open_to_all), services, teams=teams)
        self.view.update_routes(RouteTable(manifest))

    def test_a_known_key_is_served_for_its_team(self):
        status, _ = self.send_request("/safe/x")
        self.assertEqual(status, 200)
        self.assertEqual(self.dialect.teams_sent, ["a"])

    def test_an_unknown_key_is_answered_401_without_a_send(self):
        for key in (None, "guess"):
            self.dialect.key = key
            self.assertEqual(self.send_request("/safe/x")[0], 401)
        self.assertEqual(self.sent, [])

    def test_a_public_route_needs_no_key(self):
        for key, team in ((None, ""), ("guess", ""), (KEY, "a")):
            self.dialect.key = key
            self.assertEqual(self.send_request("/open/x")[0], 200)
            self.assertEqual(self.dialect.teams_sent.pop(), team)

    def test_a_daemon_with_an_old_manifest_does_not_answer_401(self):
        """Guards against a final answer for a key that a newer manifest has."""
        self.dialect.key = "new"
        self.router.confirm_manifest = lambda min_version: False
        self.assertEqual(self.send_request("/safe/x")[0], 503)

    def test_a_key_that_a_read_brings_is_served(self):
        self.dialect.key = "new"

        def read(min_version):
            self.put_in_force(3, ["new"])
            return True

        self.router.confirm_manifest = read
        self.assertEqual(self.send_request("/safe/x")[0], 200)

    def test_a_key_that_was_taken_away_is_refused_at_once(self):
        """Guards against a key that outlives its manifest on an open connection."""
        self.assertEqual(self.send_request("/safe/x")[0], 200)
        self.put_in_force(3, ["another"])
        self.assertEqual(self.send_request("/safe/x")[0], 401)

    def test_strict_revocation_refuses_what_may_have_been_taken_away(self):
        self.router.manifest_age_ms = lambda: 6000.0
        self.assertEqual(self.send_request("/safe/x")[0], 200)
        self.router.bounds = attrs.evolve(self.router.bounds, strict_revocation=True)
        self.assertEqual(self.send_request("/safe/x")[0], 503)
        self.assertEqual(self.send_request("/open/x")[0], 200)
        self.router.manifest_age_ms = lambda: 4000.0
        self.assertEqual(self.send_request("/safe/x")[0], 200)

    def test_a_reached_cap_is_answered_429(self):
        self.caps.n_tokens = 0
        status, headers = self.send_request("/once/x")
        self.assertEqual(status, 429)
        self.assertEqual(float(dict(headers)["Retry-After"]), 0.4)
        self.caps.denial = Denial(False, 300.0)
        self.assertEqual(self.send_request("/once/x")[0], 503)
        self.assertEqual(self.sent, [])

    def test_a_served_request_takes_one_token(self):
        self.send_request("/safe/x")
        self.assertEqual(self.caps.n_tokens, 4)

    def test_a_retry_after_a_shed_request_takes_no_second_token(self):
        """Guards against requests within the cap that are counted twice."""
        self.scripted["all"] = [SHED, OK]
        self.assertEqual(self.send_request("/safe/x")[0], 200)
        self.assertEqual(len(self.sent), 2)
        self.assertEqual(self.caps.n_tokens, 4)

    def test_a_retry_of_a_request_that_may_have_run_takes_another_token(self):
        """Guards against a sum that is exceeded by retries."""
        self.scripted["all"] = [UNANSWERED, OK]
        self.assertEqual(self.send_request("/safe/x")[0], 200)
        self.assertEqual(self.caps.n_tokens, 3)

    def test_a_retry_without_a_token_is_not_called_not_run(self):
        """Guards against 429 for a request that a server may have run."""
        self.caps.n_tokens = 1
        self.scripted["all"] = [UNANSWERED, OK]
        self.assertEqual(self.send_request("/safe/x")[0], 502)

    def test_the_token_of_a_refused_request_is_given_back(self):
        self.scripted["all"] = [SHED]
        self.assertEqual(self.send_request("/once/x")[0], 503)
        self.assertEqual(self.caps.n_tokens, 5)

    def test_a_request_for_another_daemon_takes_its_token_there(self):
        """Guards against a delegated request that counts twice, or not at all."""
        self.router.monitor = types.SimpleNamespace(is_cut_off=True)
        self.router._deliver(self.routed(lambda request: OK.unwrap()), self.times())
        self.assertEqual(self.caps.n_tokens, 5)

    def routed(self, serve):
        """Return a request of the team, which another daemon serves."""
        self.router.delegator.serve = serve
        team = self.view.manifest.teams.find(KEY)
        return types.SimpleNamespace(
            service="desk",
            route=self.view.manifest.routes[0],
            until_ms=math.inf,
            may_delegate=True,
            has_token=False,
            is_trial=False,
            team=team,
        )

    def times(self):
        """Return a stand-in for the times of a request."""
        return types.SimpleNamespace(service_ms=0.0)

    def test_a_delegate_trusts_the_team_that_it_is_told(self):
        facts = RequestFacts("r1", "h")
        route = self.view.manifest.routes[0]
        self.assertEqual(self.router._find_team(facts, route, "a").name, "a")
        self.assertIs(self.router._find_team(facts, route, ""), ANONYMOUS)
        with self.assertRaises(RequestError) as raised:
            self.router._find_team(facts, route, "gone")
        self.assertEqual(raised.exception.status, 503)
        self.assertEqual(raised.exception.outcome, NOT_RUN)

    def test_the_priority_of_a_team_goes_before_that_of_the_route(self):
        teams = ApiKeyIndex.from_teams(
            [(CallerTeam("first", 0), ["a"]), (CallerTeam("second", 1), ["b"])]
        )
        routes = tuple(
            Route("h", path, (WeightedService("s"),), True, 1.0, 1.0, priority=priority)
            for path, priority in (("/urgent/", 0), ("/other/", 2))
        )
        table = RouteTable(Manifest(1, routes, teams=teams))
        urgent, other = routes
        self.assertTrue(table.is_urgent(other, teams.teams["first"]))
        self.assertFalse(table.is_urgent(urgent, teams.teams["second"]))
        self.assertTrue(table.is_urgent(urgent))
        self.assertFalse(table.is_urgent(other))


class DelegationTest(unittest.TestCase):
    """What one daemon tells another of a team."""

    def test_the_team_is_told(self):
        for team in (None, "", "a"):
            delegation = Delegation(1.0, "desk", 3, team=team)
            _, text = delegation.to_header()
            self.assertEqual(Delegation.from_header(text).team, team)

    def test_without_teams_the_header_is_as_before(self):
        self.assertNotIn("team", Delegation(1.0, "desk", 3).to_header()[1])


if __name__ == "__main__":
    unittest.main()
