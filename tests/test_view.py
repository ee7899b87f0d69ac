"""How a view handles objects of other releases and invalid objects."""

import unittest

from tarragonramp.model import Stored
from tarragonramp.view import View

SERVICE = {"name": "records", "path_prefix": "/records"}


def view_of(*specs):
    """Return a view that has applied (kind, name, spec) items in this order."""
    view = View()
    for version, (kind, name, spec) in enumerate(specs, 1):
        view.apply(Stored(kind, name, version, spec))
    return view


class ViewTest(unittest.TestCase):
    """Objects as read from the platform."""

    def test_an_older_version_is_dropped(self):
        """A lagging watch shows a failure domain as it was before it was taken out."""
        view = View()
        view.apply(Stored("FailureDomain", "a", 7, {"state": "out"}))
        self.assertFalse(view.apply(Stored("FailureDomain", "a", 5, {"state": "in"})))
        self.assertFalse(view.is_domain_in_service("a"))

    def test_fields_of_a_newer_release_are_ignored(self):
        """Guards against daemons that stop at fields of a newer release.

        During a rolling upgrade or its rollback, old daemons read objects of new ones.
        A daemon that fails on an unknown field would apply no further change, and
        callers would be served by an old configuration.
        """
        view = view_of(
            ("Template", "desk", {"services": [SERVICE], "parameters": {}, "new": 1}),
            ("Team", "valley", {"template": "desk", "newer": {"a": 1}}),
        )
        self.assertIn(("valley", "records"), view.services())

    def test_invalid_declaration_keeps_the_last_valid_one(self):
        """A team with an error in it is written without the command's checks.

        The daemons keep the last valid declaration and report the error.
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

    def test_team_being_deleted_takes_no_requests(self):
        view = view_of(
            ("Template", "desk", {"services": [SERVICE]}),
            ("Team", "valley", {"template": "desk"}),
        )
        self.assertIsNotNone(view.service_at("/records"))
        leaving = {"template": "desk", "leaving": True}
        view.apply(Stored("Team", "valley", 9, leaving))
        self.assertIsNone(view.service_at("/records"))
        self.assertIn(("valley", "records"), view.services())

    def test_assignment_determines_the_number_of_slices(self):
        """Guards against a change of the number of slices while keys have owners.

        Two operators change a template and declare its team at the same time, and both
        changes pass the checks.
        """
        key_source = {"source": "header", "name": "X-Record"}
        assignment = {
            "team": "valley",
            "service": "records",
            "ranges": [[0, 64, "owned", "s1", 1]],
            "stewards": {},
            "request_id": "",
        }
        service = {**SERVICE, "divided_by": key_source}
        view = view_of(
            ("Template", "desk", {"services": [service]}),
            ("Team", "valley", {"template": "desk"}),
            ("Assignment", "valley.records", assignment),
            ("Template", "desk", {"services": [{**service, "n_slices": 128}]}),
        )
        self.assertEqual(view.service_at("/records")[1].n_slices, 64)

    def test_teams_with_the_same_path_are_resolved_by_name(self):
        teams = [("Team", name, {"template": "desk"}) for name in ("b", "a")]
        desk = ("Template", "desk", {"services": [SERVICE]})
        for order in (teams, teams[::-1]):
            self.assertEqual(view_of(desk, *order).service_at("/records")[0], "a")

    def test_audit_entries_are_not_kept(self):
        view = view_of(("AuditEntry", "1-a", {"actor": "x"}))
        self.assertIsNone(view.stored("AuditEntry", "1-a"))
        self.assertEqual(view.config_version, 0)
