"""Tests of settings files: validation, error locations and overrides."""

import os
import tempfile
import unittest

from returns.pipeline import is_successful

from tarragonramp.settings import load_settings

GOOD = """\
name: d1
failure_domain: a
caller_address: 127.0.0.1:7100
control_address: 127.0.0.1:7101
peer_address: 127.0.0.1:7102
platform_address: 127.0.0.1:7000
security:
  insecure: true
"""


class SettingsTest(unittest.TestCase):
    """Loading and validating settings files."""

    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def write(self, name, text):
        """Write a file; return its path."""
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(text)
        return path

    def load(self, text, environment=()):
        """Write text to a settings file and load it."""
        return load_settings(self.write("d.yaml", text), dict(environment))

    def faults(self, text, environment=()):
        """Return the faults of a rejected file, without the name of the folder."""
        result = self.load(text, environment)
        self.assertFalse(is_successful(result), "settings were accepted")
        found = result.failure().faults
        return [str(fault).replace(f"{self.folder}/", "") for fault in found]

    def assert_fault(self, expected, faults):
        """Assert that a fault begins with the expected text."""
        self.assertTrue(any(f.startswith(expected) for f in faults), faults)

    def test_valid_file_is_loaded(self):
        settings = self.load(GOOD + "timing: {ping_ms: 100}\n").unwrap()
        self.assertEqual(settings.timing.ping_ms, 100)
        self.assertEqual(settings.timing.silence_ms, 500)

    def test_resources_are_settings(self):
        text = GOOD + "resources: {memory_mb: 128, descriptors: 400}\n"
        resources = self.load(text).unwrap().resources
        self.assertEqual(resources.caller_connections, 180)
        self.assertEqual(resources.shared_bytes, 45_400_000)
        faults = self.faults(GOOD + "resources: {memory_mb: 3}\n")
        self.assertEqual(len(faults), 1)

    def test_all_faults_are_reported_together_with_file_and_line(self):
        text = GOOD.replace("127.0.0.1:7102", "localhost:7102") + (
            "timing:\n  ping_ms: '150'\n  right_ms: 3\n  pign_ms: 1\n"
            "limits: {body_bytes: true}\n"
        )
        faults = self.faults(text)
        self.assert_fault("d.yaml:5: peer_address: 'localhost:7102'", faults)
        self.assert_fault("d.yaml:10: timing.ping_ms: '150': expected a whole", faults)
        self.assert_fault("d.yaml:11: timing.right_ms: 3: expected 100 to", faults)
        self.assert_fault("d.yaml:12: timing.pign_ms: no such field", faults)
        self.assert_fault("d.yaml:13: limits.body_bytes: True: expected", faults)
        self.assertEqual(len(faults), 5)

    def test_files_without_a_single_settings_mapping_are_rejected(self):
        self.assertIn("empty", self.faults("# nothing\n")[0])
        self.assertIn("one document", self.faults("- a\n- b\n")[0])
        self.assertIn("one document", self.faults(GOOD + "---\n" + GOOD)[0])
        self.assert_fault("d.yaml:2: expected", self.faults("name: [\n"))
        missing = load_settings(f"{self.folder}/none.yaml", {}).failure().faults
        self.assertIn("No such file", missing[0])

    def test_missing_fields_are_reported(self):
        faults = self.faults("name: d1\n")
        self.assert_fault("d.yaml:1: failure_domain: missing", faults)
        self.assertEqual(len(faults), 5)

    def test_duplicate_key_is_rejected(self):
        faults = self.faults(GOOD + "name: d2\n")
        self.assertEqual(faults, ["d.yaml:9: document: 'name' twice"])

    def test_alias_expansion_deep_nesting_and_large_files_are_rejected(self):
        """Nested aliases in a file of a few lines expand to gigabytes.

        A daemon that expands them runs out of memory and is killed while it reads its
        settings.
        """
        bomb = "a: &a [x, x]\n" + "".join(
            f"b{i}: &b{i} [*{'a' if not i else f'b{i - 1}'}, *a]\n" for i in range(40)
        )
        self.assertIn("anchors and aliases", self.faults(bomb)[0])
        self.assertIn("nested deeper", self.faults("a: " + "[" * 500)[0])
        self.assertIn("longer than", self.faults("#" * 1_100_000)[0])

    def test_non_string_keys_are_rejected(self):
        self.assertIn("put it in quotes", self.faults(GOOD + "on: 1\n")[0])
        self.assertIn("put it in quotes", self.faults(GOOD + "? [a]\n: 1\n")[0])

    def test_values_without_json_equivalent_are_rejected(self):
        """YAML reads dates, ``.nan`` and binary data as objects.

        The platform stores declarations as JSON, which cannot represent them.
        """
        for value in ("2026-01-01", ".nan", ".inf", "!!binary aGk="):
            self.assertIn("put it in quotes", self.faults(f"name: {value}\n")[0])
        tagged = self.faults("name: !!python/object:os.x {}\n")
        self.assertIn("is not accepted", tagged[0])

    def test_environment_variables_override_and_are_validated(self):
        environment = {
            "TARRAGONRAMP_NAME": "d9",
            "TARRAGONRAMP_TIMING__PING_MS": "120",
            "TARRAGONRAMP_COMMAND_DAEMON": "left alone",
            "PATH": "/bin",
        }
        settings = self.load(GOOD, environment).unwrap()
        self.assertEqual((settings.name, settings.timing.ping_ms), ("d9", 120))
        faults = self.faults(
            GOOD,
            {
                "TARRAGONRAMP_TIMING__PING_MS": "fast",
                "TARRAGONRAMP_NMAE": "d1",
                "TARRAGONRAMP_NAME__X": "d1",
                "TARRAGONRAMP_TIMING": "3",
                "TARRAGONRAMP_LIMITS__BODY_BYTES": "[",
            },
        )
        self.assert_fault("TARRAGONRAMP_TIMING__PING_MS: timing.ping_ms: 'fa", faults)
        self.assert_fault("TARRAGONRAMP_NMAE: no such setting", faults)
        self.assert_fault("TARRAGONRAMP_NAME__X: no such setting", faults)
        self.assert_fault("TARRAGONRAMP_TIMING: no such setting", faults)
        self.assert_fault("TARRAGONRAMP_LIMITS__BODY_BYTES: limits.body_byt", faults)
        self.assertEqual(len(faults), 5)

    def test_override_of_field_under_non_mapping_parent_is_rejected(self):
        faults = self.faults(
            GOOD + "timing: 3\n", {"TARRAGONRAMP_TIMING__PING_MS": "9"}
        )
        self.assertEqual(faults, ["d.yaml:9: timing: 3: expected a mapping"])

    def test_numeric_text_in_environment_stays_text(self):
        self.assertEqual(self.load(GOOD, {"TARRAGONRAMP_NAME": "7"}).unwrap().name, "7")

    def test_inconsistent_settings_are_rejected(self):
        text = GOOD.replace("7102", "7101")
        faults = self.faults(text + "timing: {ping_ms: 400, right_ms: 500}\n")
        self.assert_fault("d.yaml:5: peer_address: '127.0.0.1:7101': also", faults)
        self.assert_fault("d.yaml:9: timing.silence_ms: 500: less than", faults)
        self.assert_fault("d.yaml:9: timing.right_ms: 500: less than", faults)

    def test_ports_without_secrets_need_loopback_and_insecure(self):
        open_ports = GOOD.replace("127.0.0.1:7101", "10.0.0.1:7101")
        faults = self.faults(open_ports)
        self.assert_fault("d.yaml:7: security.operator_secret_file: missing", faults)
        self.assert_fault("d.yaml:7: security.peer_secret_file: missing", faults)
        without_insecure = GOOD.replace("insecure: true", "insecure: false")
        self.assertEqual(len(self.faults(without_insecure)), 2)

    def test_secrets_are_read_from_files(self):
        path = self.write("secret", "new-secret-0123456789\nold-secret-0123456789\n")
        text = GOOD.replace(
            "insecure: true",
            f"operator_secret_file: {path}\n  peer_secret_file: {path}",
        ).replace("127.0.0.1", "10.0.0.1")
        security = self.load(text).unwrap().security
        self.assertEqual(security.peer_secret.splitlines()[0], "new-secret-0123456789")
        self.assertNotIn("secret-0123", repr(security))
        self.write("secret", "short\n")
        self.assertIn("16 characters", self.faults(text)[0])
        os.remove(path)
        self.assertEqual(len(self.faults(text)), 2)
