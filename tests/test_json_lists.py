"""Lists of JSON objects in which some elements can't be read."""

import json
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonramp.adapters import json_lists
from tarragonramp.adapters.json_lists import (
    ListFormat,
    is_plain,
    parse_json,
    read_list,
)

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**18), 10**18)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)
PATHS = (("meta",),)


class JsonListTest(unittest.TestCase):
    """Lists read as a whole, and in parts."""

    def setUp(self):
        patch = mock.patch("tarragonramp.adapters.json_lists.log_event")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def read(self, *elements, **options):
        """Read a list with elements that are given as JSON text."""
        text = b'{"rev": 7, "items": [' + b", ".join(elements) + b'], "more": true}'
        raw = read_list(text, ListFormat("items", PATHS, **options))
        self.assertEqual((raw["rev"], raw["more"]), (7, True))
        return raw["items"]

    @settings(deadline=None)
    @given(st.dictionaries(st.text(), VALUES), st.lists(VALUES), st.booleans())
    def test_a_list_that_is_read_in_parts_is_the_same(self, others, items, spaced):
        """Guards against a scan that takes text for brackets, or loses an element."""
        raw = {**others, "items": items}
        text = json.dumps(raw, indent=1 if spaced else None, ensure_ascii=spaced)
        data = text.encode(errors="surrogatepass")
        found = json_lists._read_in_parts(data, "items", PATHS)
        self.assertEqual(found, raw)

    def test_one_unreadable_element_does_not_hide_the_others(self):
        """Guards against one entry that makes all of them unreadable."""
        for value in (b"[" * 100_000 + b"]" * 100_000, b"9" * 6000, b'"\xff"', b"\\"):
            odd = b'{"x": ' + value + b', "meta": {"name": "b", "rev": 2}}'
            found = self.read(b'{"a": 1}', odd, b'{"c": 3}')
            self.assertEqual(found[0], {"a": 1})
            self.assertEqual(found[1], {"meta": {"name": "b", "rev": 2}})
            self.assertEqual(found[2], {"c": 3})
            self.log.assert_called()

    def test_what_readers_and_writers_treat_differently_counts_as_unreadable(self):
        """Guards against a value that is read here and can't be passed on."""
        for value in (b"[" * 500 + b"]" * 500, b"9" * 400, b"1e999", b"NaN"):
            odd = b'{"x": ' + value + b', "meta": {"name": "b"}}'
            self.assertEqual(self.read(odd), [{"meta": {"name": "b"}}])
            self.assertIn("x", self.read(odd, checks=False)[0])

    def test_an_element_without_a_readable_part_is_empty(self):
        odd = b'{"meta": ' + b"9" * 6000 + b"}"
        self.assertEqual(self.read(odd, b"3"), [{"meta": None}, 3])

    def test_what_is_no_list_is_an_error(self):
        """Guards against an endless scan, and against an error of another kind."""
        for text in (b"", b"{", b"[]", b'{"items": 3}', b'{"items": [}', b"\xff\xff"):
            with self.assertRaises(ValueError):
                read_list(text, ListFormat("items", PATHS))
        with self.assertRaises(ValueError):
            parse_json(b"[" * 100_000)

    def test_plain_values(self):
        self.assertTrue(is_plain({"a": [1, 2.5, None, True, "x"] * 9}))
        for value in (1 << 63, float("nan"), float("inf"), [[1 << 64]]):
            self.assertFalse(is_plain(value))
