"""What a daemon makes of objects that other versions and other hands have written."""

import unittest

from tarragonramp.model import Stored
from tarragonramp.view import View

SERVICE = {"name": "records", "path_prefix": "/records"}


def view_of(*specs):
    """Return a view that has seen specs of kind, name, spec in this order."""
    view = View()
    for version, (kind, name, spec) in enumerate(specs, 1):
        view.apply(Stored(kind, name, version, spec))
    return view


class ViewTest(unittest.TestCase):
    """Objects as they come from the platform."""

    def test_an_older_version_is_dropped(self):
        """A lagging watch shows a failure domain as it was before it was taken out."""
        view = View()
        view.apply(Stored("FailureDomain", "a", 7, {"state": "out"}))
        self.assertFalse(view.apply(Stored("FailureDomain", "a", 5, {"state": "in"})))
        self.assertFalse(view.domain_in("a"))

    def test_fields_of_a_newer_version_are_passed_over(self):
        """A rolling upgrade is under way, and then taken back.

        Old daemons read what new ones wrote; one that stops at an unknown field
        follows no change any more, and callers see an old configuration.
        """
        view = view_of(
            ("Template", "desk", {"services": [SERVICE], "parameters": {}, "new": 1}),
            ("Team", "valley", {"template": "desk", "newer": {"a": 1}}),
        )
        self.assertIn(("valley", "records"), view.services())

    def test_a_declaration_that_cannot_be_read_leaves_the_one_before(self):
        """Somebody writes a team past the command, with a fault in it.

        The daemons go on with the last good one and say so.
        """
        view = view_of(
            ("Template", "desk", {"services": [SERVICE]}),
            ("Team", "valley", {"template": "desk"}),
            ("Team", "valley", {"template": "desk", "domain_weights": {"a": -1}}),
        )
        self.assertIn(("valley", "records"), view.services())
        self.assertEqual(list(view.unreadable), [("Team", "valley")])
        view.apply(Stored("Team", "valley", 9, {"template": "desk"}))
        self.assertEqual(view.unreadable, {})

    def test_a_leaving_team_takes_no_requests(self):
        view = view_of(
            ("Template", "desk", {"services": [SERVICE]}),
            ("Team", "valley", {"template": "desk"}),
        )
        self.assertIsNotNone(view.service_at("/records"))
        leaving = {"template": "desk", "leaving": True}
        view.apply(Stored("Team", "valley", 9, leaving))
        self.assertIsNone(view.service_at("/records"))
        self.assertIn(("valley", "records"), view.services())

    def test_the_assignment_says_how_many_slices_there_are(self):
        """Two operators change a template and declare its team at the same moment.

        Both pass the checks; the number of slices changes under keys with owners.
        """
        divisor = {"source": "header", "name": "X-Record"}
        assignment = {
            "team": "valley",
            "service": "records",
            "ranges": [[0, 64, "owned", "s1", 1]],
            "stewards": {},
            "request_id": "",
        }
        service = {**SERVICE, "divided_by": divisor}
        view = view_of(
            ("Template", "desk", {"services": [service]}),
            ("Team", "valley", {"template": "desk"}),
            ("Assignment", "valley.records", assignment),
            ("Template", "desk", {"services": [{**service, "n_slices": 128}]}),
        )
        self.assertEqual(view.service_at("/records")[1].n_slices, 64)

    def test_daemons_choose_the_same_one_of_two_teams_at_one_path(self):
        teams = [("Team", name, {"template": "desk"}) for name in ("b", "a")]
        desk = ("Template", "desk", {"services": [SERVICE]})
        for order in (teams, teams[::-1]):
            self.assertEqual(view_of(desk, *order).service_at("/records")[0], "a")

    def test_audit_entries_are_not_kept(self):
        view = view_of(("AuditEntry", "1-a", {"actor": "x"}))
        self.assertIsNone(view.stored("AuditEntry", "1-a"))
        self.assertEqual(view.config_version, 0)
