"""Tests that the operators' manual agrees with the code."""

import re
import unittest

import attrs

from tarragonramp import client, command
from tarragonramp.model import CallerClass, Service
from tarragonramp.settings import DaemonSettings

PAGE = "docs/OPERATORS.md"


def rows(first_column):
    """Return the cells of all table rows whose first column matches a pattern."""
    with open(PAGE, encoding="utf-8") as stream:
        lines = [line.strip().strip("|") for line in stream if line.startswith("|")]
    cells = [[cell.strip() for cell in line.split(" | ")] for line in lines]
    return [row for row in cells if re.fullmatch(first_column, row[0])]


def settings_fields(cls=DaemonSettings, path=""):
    """Yield the field path and the attrs attribute of each scalar setting."""
    for field in attrs.fields(cls):
        if attrs.has(field.type):
            yield from settings_fields(field.type, f"{path}{field.name}.")
        else:
            yield f"{path}{field.name}", field


class OperatorsPageTest(unittest.TestCase):
    """Tables of the manual compared with settings, commands and exit codes."""

    def test_each_setting_is_listed_with_its_default(self):
        listed = {row[0].strip("`"): row[1:] for row in rows("`[a-z_.]+`")}
        for path, field in settings_fields():
            self.assertIn(path, listed)
            default = listed[path][0]
            if field.default is attrs.NOTHING:
                self.assertEqual(default, "required", path)
            elif field.default == "":
                self.assertEqual(default, "empty", path)
            else:
                self.assertEqual(default, str(field.default).lower(), path)

    def test_no_setting_is_listed_twice(self):
        listed = [row[0] for row in rows(r"`[a-z_]+\.[a-z_]+`")]
        self.assertEqual(len(listed), len(set(listed)))

    def test_listed_ranges_match_the_validators(self):
        listed = {row[0].strip("`"): row[1:] for row in rows("`[a-z_.]+`")}
        checked = 0
        for path, field in settings_fields():
            match = re.fullmatch(r"(\d+) to (\d+)", listed[path][1])
            if not match:
                continue
            checked += 1
            low, high = map(int, match.groups())
            for value in (low, high):
                field.validator(None, field, value)
            for value in (low - 1, high + 1):
                with self.assertRaises(ValueError):
                    field.validator(None, field, value)
        self.assertEqual(
            checked, sum(field.type is int for _, field in settings_fields())
        )

    def test_exit_codes_and_commands_are_listed(self):
        codes = {
            value for name, value in vars(client).items() if name.startswith("EXIT_")
        }
        self.assertEqual({int(row[0]) for row in rows(r"\d")}, codes)
        listed = " ".join(row[0] for row in rows("`[a-z-]+ .*`|`status`"))
        for name, below in command.COMMANDS.items():
            names = (
                [f"{name} {n}" for n in below] if isinstance(below, dict) else [name]
            )
            for item in names:
                self.assertIn(f"`{item}", listed)

    def test_fields_of_a_service_are_listed(self):
        with open(PAGE, encoding="utf-8") as stream:
            page = stream.read()
        for cls in (Service, CallerClass):
            for field in attrs.fields(cls):
                self.assertIn(f"`{field.name}", page)
