"""Long entries of other writers, as one process reads them from the store."""

import json
import os
import sys
import unittest
from unittest import mock

import gevent
from returns.result import Success

from tarragonramp.adapters.http import HttpPool, Response
from tarragonramp.adapters.json_lists import (
    MAX_WHOLE_BYTES,
    ListFormat,
    WorkTurns,
    read_list,
)

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.append(os.path.join(ROOT, "platform"))

from bridge.servers import read_server  # noqa: E402
from bridge.store import MetadataStore  # noqa: E402

ENTRY_BYTES = 1_000_000
BAD_BYTE = b'"\xff"'


def _list_of(element, last):
    return lambda n_bytes: b"[" + element * (n_bytes // len(element)) + last + b"]"


def _nested(opening, closing):
    def write(n_bytes):
        depth = n_bytes // (len(opening) + len(closing))
        return opening * depth + b"1" + closing * depth

    return write


def _members(n_bytes):
    names = (b'"k%07d":1' % number for number in range(n_bytes // 12))
    return b"{" + b",".join(names) + b',"last":"\xff"}'


FORMS = {
    "records": _list_of(b'{"k":1},', BAD_BYTE),
    "records that can be read": _list_of(b'{"k":1},', b"1"),
    "empty lists": _list_of(b"[],", BAD_BYTE),
    "numbers": _list_of(b"1,", b"9" * 6000),
    "short strings": _list_of(b'"[",', BAD_BYTE),
    "lists of some levels": _list_of(b"[[[[1]]]],", BAD_BYTE),
    "escapes": lambda n_bytes: b'["' + b'\\"' * (n_bytes // 2) + b'\xff"]',
    "space": _list_of(b" ", BAD_BYTE),
    "members": _members,
    "one long string": lambda n_bytes: b'"' + b"x" * n_bytes + b'"',
    "nested lists": _nested(b"[", b"]"),
    "nested objects": _nested(b'{"a":', b"}"),
    "nested lists with siblings": _nested(b"[[],[],0,", b"]"),
}
"""JSON text, more or less, of ``info`` in an entry of some length."""


def _page(*infos):
    items = [
        b'{"spec": {"info": %b}, "meta": {"name": "i-%d", "rev": 7}}' % (info, number)
        for number, info in enumerate(infos)
    ]
    joined = b", ".join(items)
    return b'{"items": [%b], "hasMore": false, "storeRevision": 9}' % joined


class LongEntryTest(unittest.TestCase):
    """Guards against entries of another writer that keep a daemon from answering."""

    def setUp(self):
        patch = mock.patch("tarragonramp.adapters.json_lists.log_event")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def test_other_work_runs_while_entries_are_read(self):
        """Guards against a page that is read without a turn for other greenlets."""
        for name, write in FORMS.items():
            with self.subTest(name):
                info = write(ENTRY_BYTES)
                store = MetadataStore("127.0.0.1:1")
                n_turns = 0

                def take_turns():
                    nonlocal n_turns
                    while True:
                        gevent.sleep(0.0001)
                        n_turns += 1

                answer = Success(Response(200, (), _page(b"1", info, b"3")))
                with mock.patch.object(HttpPool, "exchange", return_value=answer):
                    other = gevent.spawn(take_turns)
                    _, items = store.snapshot("server").unwrap()
                    other.kill()
                names = [item.name for item in items]
                self.assertEqual(names, ["i-0", "i-1", "i-2"])
                self.assertEqual(items[2].spec, {"info": 3})
                self.assertGreaterEqual(n_turns, 2)

    def test_work_is_in_proportion_to_the_length(self):
        """Guards against a form of nesting that is scanned again and again."""
        for name, write in FORMS.items():
            with self.subTest(name):
                few, _ = self.count_work(_page(write(ENTRY_BYTES // 2)))
                many, longest = self.count_work(_page(*[write(ENTRY_BYTES)] * 2))
                self.assertLess(many, 5 * few)
                self.assertLessEqual(longest, 1.1 * ENTRY_BYTES)

    def count_work(self, data):
        """Return the bytes that are looked at to read a page, in all and in a step."""
        steps, spend = [], WorkTurns.spend

        def record(turns, n_bytes):
            steps.append(n_bytes)
            spend(turns, n_bytes)

        with mock.patch.object(WorkTurns, "spend", record):
            read_list(data, ListFormat("items", (("meta",),), ()))
        return sum(steps), max(steps)

    def test_what_is_not_needed_of_a_long_entry_is_dropped(self):
        """Guards against entries that take the memory, and a server that is lost."""
        server = {
            "meta": {"name": "i-0", "rev": 7},
            "spec": {
                "addr": "127.0.0.1:9",
                "born": 3,
                "note": "x" * ENTRY_BYTES,
                "info": {"service": "desk", "zone": "a", "slots": 4, "more": [{}] * 9},
            },
            "status": {"state": "ready"},
        }
        store = MetadataStore("127.0.0.1:1")
        for field in ("items", "events"):
            row = {"object": server, "deleted": False} if field == "events" else server
            data = json.dumps({field: [row], "storeRevision": 9}).encode()
            answer = Success(Response(200, (), data))
            with mock.patch.object(HttpPool, "exchange", return_value=answer):
                result = (
                    store.snapshot("server")
                    if field == "items"
                    else store.watch("server", 1, 0)
                )
            _, (stored,) = result.unwrap()
            self.assertEqual(read_server(stored).unwrap().address, "127.0.0.1:9")
            self.assertLess(len(json.dumps(stored.spec)), 1000)

    def test_a_long_manifest_is_read_whole(self):
        """Guards against a long valid object of which a part is lost."""
        rules = [{"name": f"r{n}", "match": [n, [n]]} for n in range(30_000)]
        spec = {"listeners": [{"host": "a", "rules": rules}], "note": "[" * 400_000}
        page = {"items": [{"meta": {"name": "main", "rev": 1}, "spec": spec}]}
        for indent in (None, 1):
            data = json.dumps(page, indent=indent).encode()
            self.assertGreater(len(data), MAX_WHOLE_BYTES)
            found = read_list(data, ListFormat("items", (("meta",),)))
            self.assertEqual(found, page)

    def test_what_is_no_json_in_a_long_value_makes_it_unreadable(self):
        """Guards against a reader of parts that takes more than the parser does."""
        fill = b"1," * 200_000
        for value in (
            b"[" + fill + b"]",
            b"[" + fill + b"1}",
            b"[" + fill + b"1] 2",
            b"{" + b'"a":1,' * 80_000 + b"}",
            b"{" + b'"a":1,' * 80_000 + b"2}",
            b"[" + fill + b"," + fill + b"1]",
            b"[" + fill + b"[" + fill + b"]]",
        ):
            data = b'{"items": [{"meta": {"rev": 1}, "x": %b}, 5]}' % value
            found = read_list(data, ListFormat("items", (("meta",),)))
            self.assertEqual(found, {"items": [{"meta": {"rev": 1}}, 5]})
