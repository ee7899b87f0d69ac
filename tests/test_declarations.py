"""Validation of declarations, including changes that are unsafe for keys."""

import copy
import unittest

from returns.pipeline import is_successful

from tarragonramp.declarations import (
    Declaration,
    DeclaredObjects,
    check_declarations,
    check_deletion,
    declarations_of,
    read_declarations,
)
from tarragonramp.documents import read_documents
from tarragonramp.model import Team, Template
from tarragonramp.structuring import structure

TEMPLATE = {
    "parameters": {
        "slices": {"type": "integer", "default": 64},
        "path": {"default": "/records"},
    },
    "services": [
        {
            "name": "records",
            "path_prefix": "${path}",
            "divided_by": {"source": "header", "name": "X-Record"},
            "n_slices": "${slices}",
        }
    ],
}


def template(**changes):
    """Return the template with some fields of its service changed."""
    spec = copy.deepcopy(TEMPLATE)
    spec["services"][0].update(changes)
    return Declaration("Template", "desk", spec)


def team(name="valley", **parameters):
    """Return a team that uses the template."""
    return Declaration("Team", name, {"template": "desk", "parameters": parameters})


def declared(*declarations, assigned_slices=()):
    """Return existing objects."""
    found = {"Template": {}, "Team": {}}
    for item in declarations:
        wanted = Template if item.kind == "Template" else Team
        found[item.kind][item.name] = structure(item.spec, wanted).unwrap()
    return DeclaredObjects(found["Template"], found["Team"], dict(assigned_slices))


def faults_of(declarations, before=None):
    """Return the faults as texts."""
    before = before or DeclaredObjects()
    return [str(fault) for _, fault in check_declarations(declarations, before)]


class DeclarationsTest(unittest.TestCase):
    """Validation of templates and teams."""

    def assert_one(self, expected, faults):
        """Check that there is exactly one fault and that it contains a text."""
        self.assertEqual(len(faults), 1, faults)
        self.assertIn(expected, faults[0])

    def test_demo_files_are_valid(self):
        for file in ("demo/fraser-valley.yaml", "demo/cooperative.yaml"):
            self.assertEqual(faults_of(read_declarations(file).unwrap()), [])

    def test_incomplete_documents_are_refused_with_line_numbers(self):
        text = "kind: Team\nspec: 3\n---\n- a\n---\nkind: Pod\nname: 3\nspec: {}\n"
        documents = read_documents(text, "f").unwrap()
        faults = declarations_of(documents).failure().faults
        self.assertEqual(faults[0], "f:1: name: missing")
        self.assertEqual(faults[1], "f:2: spec: 3: expected a mapping")
        self.assertIn("f:4: expected a mapping with kind", faults[2])
        self.assertIn("f:6: kind: 'Pod' cannot be declared", faults[3])
        self.assertEqual(faults[4], "f:7: name: 3: expected text")

    def test_invalid_fields_of_a_service_are_refused(self):
        key_source = {"source": "header", "name": "X-Record"}
        cases = {
            "spec.services[0].n_slices": {"n_slices": 0},
            "spec.services[0].n_slices: True": {"n_slices": True},
            "spec.services[0].slots_per_server: '4'": {"slots_per_server": "4"},
            "spec.services[0].slots": {"slots": 4},
            "spec.services[0].path_prefix": {"path_prefix": "records"},
            "3 renewals have to fit": {"renewal_ms": 500},
            "more than slots_per_server": {"cold_slots_per_server": 9},
            "fewer than slots_per_server": {"connections_per_server": 2},
            "divided_by.source": {"divided_by": {"source": "cookie"}},
            "not the callers' to set": {"divided_by": key_source | {"name": "Host"}},
            "header is not": {"divided_by": key_source | {"name": "Tarragon-Token"}},
            "not the name of a header": {"divided_by": key_source | {"name": "A B"}},
            "the part's number": {"divided_by": {"source": "path", "name": "job"}},
            "divided_by.name: missing": {"divided_by": {"source": "query"}},
            "only together with": {"divided_by": {"name": "x"}},
            "no parameter named 'nope'": {"n_slices": "${nope}"},
            "classes[0].methods: 'get'": {
                "classes": [{"name": "a", "methods": ["get"]}]
            },
            "classes[0].methods: 'GET'": {"classes": [{"name": "a", "methods": "GET"}]},
            "methods: expected at": {"classes": [{"name": "a", "methods": []}]},
            "deadline_ms: 5": {"classes": [{"name": "a", "deadline_ms": 5}]},
            "never used": {"classes": [{"name": "a"}, {"name": "b"}]},
            "another class has it": {"classes": [{"name": "a"}, {"name": "a"}]},
        }
        for expected, changes in cases.items():
            self.assert_one(expected, faults_of([template(**changes)]))

    def test_parameters_are_checked_by_type(self):
        before = declared(template())
        self.assertEqual(faults_of([team(slices=32)], before), [])
        self.assert_one("type integer", faults_of([team(slices=True)], before))
        self.assert_one("type integer", faults_of([team(slices="32")], before))
        self.assert_one("no such parameter", faults_of([team(slcies=3)], before))
        self.assert_one("spec.services[0].n_sl", faults_of([team(slices=0)], before))
        needed = template()
        needed.spec["parameters"]["slices"] = {"type": "integer"}
        self.assertEqual(faults_of([needed]), [])
        self.assert_one("required, not given", faults_of([needed, team()]))

    def test_weights_are_checked(self):
        before = declared(template())
        heavy = team()
        heavy.spec["domain_weights"] = {"a": -1.0}
        self.assert_one("spec.domain_weights", faults_of([heavy], before))
        heavy.spec["domain_weights"] = {"a": 0, "b": 0}
        self.assert_one("at least one", faults_of([heavy], before))

    def test_system_fields_cannot_be_declared(self):
        own = team()
        own.spec["leaving"] = True
        self.assert_one("leave it out", faults_of([own], declared(template())))

    def test_template_and_team_can_be_applied_together(self):
        self.assertEqual(faults_of([team(), template()]), [])
        self.assert_one("no template named", faults_of([team()]))
        self.assert_one("declared more than once", faults_of([template(), template()]))

    def test_two_teams_cannot_have_the_same_path(self):
        """Guards against requests that reach another team's servers.

        The declaration of a second team has the path of the first one.
        """
        before = declared(template(), team())
        self.assert_one("claimed by team valley", faults_of([team("coop")], before))
        self.assertEqual(faults_of([team("coop", path="/jobs")], before), [])
        slash = team("coop", path="/records/")
        self.assert_one("claimed by team valley", faults_of([slash], before))
        both = [team("a1"), team("b1")]
        self.assertEqual(len(faults_of(both, declared(template()))), 2)

    def test_change_that_remaps_keys_is_refused(self):
        """Guards against two owners of one key.

        The number of slices of a service in use is changed. Until the last daemon has
        applied the change, two daemons would send the same key to two servers, each the
        owner of its slice, and a claim could run on both.
        """
        before = declared(template(), team())
        self.assert_one("n_slices cannot", faults_of([team(slices=128)], before))
        changed = template(n_slices=128)
        self.assert_one("team valley: service rec", faults_of([changed], before))
        other = template(divided_by={"source": "query", "name": "r"})
        self.assert_one("divided_by cannot change", faults_of([other], before))
        self.assert_one("grant_ms", faults_of([template(grant_ms=5000)], before))
        renamed = template(name="other")
        self.assert_one("its keys have owners", faults_of([renamed], before))
        self.assertEqual(faults_of([template(slots_per_server=9)], before), [])

    def test_shared_service_cannot_become_divided(self):
        shared = template(divided_by={"source": "none"})
        before = declared(shared, team())
        self.assert_one("cannot become divided", faults_of([template()], before))

    def test_recreated_team_keeps_its_number_of_slices(self):
        before = declared(template(), assigned_slices={("valley", "records"): 64})
        self.assertEqual(faults_of([team()], before), [])
        self.assert_one("in 64 slices", faults_of([team(slices=32)], before))

    def test_template_in_use_cannot_be_deleted(self):
        before = declared(template(), team())
        found = check_deletion("Template", "desk", before)
        self.assertIn("in use by valley", str(found[0]))
        self.assertEqual(check_deletion("Template", "other", before), [])
        self.assertEqual(check_deletion("Team", "valley", before), [])
        self.assertTrue(check_deletion("Assignment", "valley.records", before))

    def test_change_of_template_is_checked_with_every_team(self):
        before = declared(template(), team(slices=64))
        smaller = template()
        del smaller.spec["parameters"]["slices"]
        smaller.spec["services"][0]["n_slices"] = 64
        faults = faults_of([smaller], before)
        self.assert_one("team valley: parameters.slices", faults)


class FilesTest(unittest.TestCase):
    """Locations of faults in files."""

    def test_fault_is_located_by_line(self):
        text = "kind: Template\nname: t\nspec:\n  services:\n  - name: a\n    x: 1\n"
        documents = read_documents(text, "f").unwrap()
        declarations = declarations_of(documents).unwrap()
        found = check_declarations(declarations, DeclaredObjects())
        places = [declarations[i].locate(fault) for i, fault in found]
        self.assertIn("f:6: spec.services[0].x: no such field", places[0])
        self.assertIn("f:5: spec.services[0].path_prefix: missing", places[1])

    def test_unreadable_file_is_a_failure(self):
        self.assertFalse(is_successful(read_declarations("/nonexistent.yaml")))
