"""Finds and parses the parts of a JSON text, in turns.

Other programs decide how long a text is, and how it is nested. All work is therefore
done in turns, and other greenlets run between them.
"""

import itertools
import json
import math
import re

import attrs
import gevent

__all__ = ["MAX_TURN_BYTES", "MAX_WHOLE_BYTES", "JsonScan", "WorkTurns", "parse_json"]

MAX_LEVELS = 32
"""Levels of nesting in a value that is parsed by its parts."""

MAX_TURN_BYTES, PAUSE_MS = 65_536, 1.0
"""Bytes that are looked at before other greenlets get their turn, and the pause for
them. Without a timer, gevent would not let those run that wait for one."""

MAX_WHOLE_BYTES = 4 * MAX_TURN_BYTES
"""A document up to this length is parsed at once, as the parser is faster than the
scan."""

MAX_LONG_LEVELS = 8
"""Levels at which a value longer than a turn is parsed by its parts; each level scans
it once more."""

STEP_BYTES, MARK_BYTES = 32, 4
"""What a step counts at least, and what a mark counts, as bytes that take the same
time."""

_STRING_PATTERN = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_STRING = re.compile(_STRING_PATTERN, re.DOTALL)
_WHOLE_STRINGS = re.compile(rb'(?:[^"]++|%b)*+' % _STRING_PATTERN, re.DOTALL)
_MARK = re.compile(
    rb'(?:[^"\[\]{},]++|%b)*+([\[\]{},"]|\Z)' % _STRING_PATTERN, re.DOTALL
)
"""A mark and what stands before it. Also a string that does not end, and the end of the
text, as the next match would else begin somewhere in between."""

_SPACE = re.compile(rb"[ \t\r\n]*+")

_OPENING, _CLOSING, _COMMA = b"[{", b"]}", b","[0]
_NO_MARKS = bytes(set(range(256)) - set(b"[]{},"))
_LEVELS = [(byte in _OPENING) - (byte in _CLOSING) for byte in range(256)]
"""By how much a byte outside of strings changes the level of nesting."""

PIECE_BYTES, MAX_STEPS = 4096, 64
"""Bytes whose marks are found in one step, and marks that are looked at one by one
before, which is faster for short elements."""


@attrs.define(eq=False)
class WorkTurns:
    """Divides work into turns, with a pause for other greenlets after each.

    Parameters
    ----------
    pause : callable
        Called without arguments between two turns.
    n_bytes : int
        Bytes that were looked at in this turn.
    """

    pause: object = attrs.field(default=lambda: gevent.sleep(PAUSE_MS / 1000.0))
    n_bytes: int = 0

    def spend(self, n_bytes):
        """Count bytes that were looked at, and end the turn once it was long enough."""
        self.n_bytes += n_bytes
        if self.n_bytes >= MAX_TURN_BYTES:
            self.n_bytes = 0
            self.pause()


def parse_json(data):
    """Parse JSON; ValueError for whatever cannot be parsed.

    Parameters
    ----------
    data : bytes or str
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


@attrs.define(eq=False)
class JsonScan:
    """Finds and parses the parts of a JSON text, in turns.

    Positions are bytes of the text. A part is given by where it begins, and where the
    comma or bracket behind it stands. Brackets and commas outside of strings are called
    marks; the levels of nesting of many marks are found in one step, so that no form of
    nesting makes a text costly to scan.

    Parameters
    ----------
    data : bytes
    turns : WorkTurns
    """

    data: bytes
    turns: WorkTurns

    def runs(self, start, max_level=math.inf):
        """Yield the parts of the list or object at ``start``, many elements in each.

        A part is longer than a turn only if it is a single element.

        Raises
        ------
        ValueError
            If nesting is deeper than ``max_level`` levels.
        """
        first, is_last = self.skip_bracket(start), False
        while not is_last:
            end, is_last = self._part_end(first, MAX_TURN_BYTES, max_level)
            yield first, end
            first = end + 1

    def elements(self, first, last):
        """Yield each element of a part."""
        while first <= last:
            end, _ = self.element_end(first)
            yield first, end
            first = end + 1

    def members(self, start):
        """Yield name, begin and end of each member of the object at ``start``.

        Raises
        ------
        ValueError
            If there is no object.
        """
        first, is_last = self.skip_bracket(start, b"{"), False
        while not is_last:
            end, is_last = self.element_end(first)
            name, begin = self.name(first)
            yield name, begin, end
            first = end + 1

    def element_end(self, first):
        """Return the end of the element at a position, and whether it is the last."""
        level = 0
        for found in itertools.islice(_MARK.finditer(self.data, first), MAX_STEPS):
            mark, end = found[1], found.start(1)
            if mark in (b"", b'"'):
                break
            level += _LEVELS[mark[0]]
            if level < 0 or (level == 0 and mark == b","):
                self.turns.spend(max(STEP_BYTES, end - first))
                return end, level < 0
        return self._part_end(first, 0)

    def name(self, first):
        """Return the name of the member at a position, and where its value begins."""
        first = self._skip_space(first)
        quoted = _STRING.match(self.data, first)
        colon = self._skip_space(quoted.end()) if quoted else first
        if self.data[colon : colon + 1] != b":":
            raise ValueError("not a member of an object")
        return self._load(first, quoted.end()), self._skip_space(colon + 1)

    def parse(self, first, last):
        """Parse one value; a long one by its parts.

        Raises
        ------
        ValueError
            If it cannot be read.
        """
        if last - first <= MAX_WHOLE_BYTES:
            return self._load(first, last)
        self.turns.spend(last - first)
        self.data[first:last].decode(errors="surrogatepass")
        return self._parse_long(first, last, MAX_LONG_LEVELS)

    def parse_run(self, first, last):
        """Parse the elements of a part of a list; raises as :meth:`parse`."""
        if last - first > MAX_TURN_BYTES:
            return [self.parse(first, last)]
        return self._load(first, last, b"[%b]")

    def skip_bracket(self, start, brackets=_OPENING):
        """Return the position behind the bracket that begins a list or object."""
        start = self._skip_space(start)
        if start == len(self.data) or self.data[start] not in brackets:
            raise ValueError("neither a list nor an object")
        return start + 1

    def check_blank(self, first, last):
        """Raise ValueError if anything but space stands in a part."""
        if self._skip_space(first) < last:
            raise ValueError("a list or object with another end")

    def _parse_long(self, first, last, n_levels):
        start = self._skip_space(first)
        is_list = self.data[start : start + 1] == b"["
        is_short = last - start <= MAX_WHOLE_BYTES
        if is_short or not n_levels or self.data[start] not in _OPENING:
            return self._load(first, last)
        value, end = [] if is_list else {}, start
        for begin, end in self.runs(start, MAX_LEVELS):
            if self._skip_space(begin) >= end:
                # None that is so long is empty.
                raise ValueError("no value behind a comma")
            is_long = end - begin > MAX_TURN_BYTES
            if is_list and is_long:
                value.append(self._parse_long(begin, end, n_levels - 1))
            elif is_list:
                value += self._load(begin, end, b"[%b]")
            elif is_long:
                name, begin = self.name(begin)
                value[name] = self._parse_long(begin, end, n_levels - 1)
            else:
                value.update(self._load(begin, end, b"{%b}"))
        if self.data[end : end + 1] != (b"]" if is_list else b"}"):
            raise ValueError("a list or object with another end")
        self.check_blank(end + 1, last)
        return value

    def _load(self, first, last, form=b"%b"):
        self.turns.spend(max(STEP_BYTES, last - first))
        return parse_json((form % self.data[first:last]).decode(errors="surrogatepass"))

    def _part_end(self, first, most_bytes, max_level=math.inf):
        """Return the end of a part, and whether it is the last one.

        It has as many elements as fit in a number of bytes, and one at least.
        """
        position, level, found, is_last = first, 0, None, False
        while position < len(self.data) and not is_last:
            marks, levels, end = self._marks_behind(position, level)
            is_long = end - first > most_bytes
            if is_long and found is not None:
                break
            if max(levels, default=0) > max_level:
                raise ValueError("nested too deeply")
            index = (_first_end if is_long else _last_end)(marks, levels)
            if index is not None:
                found, is_last = (position, index), levels[index] < 0
            position, level = end, levels[-1] if levels else level
        if found is None:
            raise ValueError("a list or object without its end")
        return self._mark_position(*found), is_last

    def _marks_behind(self, first, level):
        """Find the marks in a piece, or in one string that is longer.

        Parameters
        ----------
        first : int
        level : int
            Level of nesting at this position.

        Returns
        -------
        marks : bytes
        levels : list of int
            Level behind each mark.
        end : int
            Where the next marks are to be looked for.
        """
        end = _WHOLE_STRINGS.match(self.data, first, first + PIECE_BYTES).end()
        if end == first:
            found = _STRING.match(self.data, first)
            if found is None:
                raise ValueError("a string without its end")
            end = found.end()
        text = _STRING.sub(b"", self.data[first:end])
        marks = text.translate(None, _NO_MARKS)
        steps = map(_LEVELS.__getitem__, marks)
        levels = list(itertools.accumulate(steps, initial=level))[1:]
        self.turns.spend(max(STEP_BYTES, end - first) + MARK_BYTES * len(marks))
        return marks, levels, end

    def _mark_position(self, first, index):
        """Return the position of a mark, counted from another position."""
        found = itertools.islice(_MARK.finditer(self.data, first), index, None)
        return next(found).start(1)

    def _skip_space(self, position):
        return _SPACE.match(self.data, position).end()


def _first_end(marks, levels):
    """Return the index of the mark behind the first element; None without one."""
    if min(levels, default=1) > 0:
        return None
    for index, (mark, level) in enumerate(zip(marks, levels, strict=True)):
        if level < 0 or (level == 0 and mark == _COMMA):
            return index
    return None


def _last_end(marks, levels):
    """Return the index of the mark behind the last whole element; None without one."""
    if -1 in levels:
        # The list or object ends here.
        return levels.index(-1)
    for index in range(len(marks) - 1, -1, -1):
        if levels[index] == 0 and marks[index] == _COMMA:
            return index
    return None
