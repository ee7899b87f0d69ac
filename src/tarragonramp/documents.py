"""YAML files, read so that nothing in them is taken for something else."""

import math

import attrs
import yaml
from returns.result import Failure, Result, Success

from .errors import DocumentError

__all__ = ["MAX_FILE_BYTES", "Document", "Fault", "read_documents", "read_file"]

MAX_FILE_BYTES = 1_048_576
"""Longest file taken: the platform holds values up to this size."""

_PLAIN_TAGS = ("tag:yaml.org,2002:map", "tag:yaml.org,2002:seq")

MAX_DEPTH = 20
"""Deepest nesting taken; far above any declaration, far below Python's stack."""


@attrs.frozen
class Fault:
    """One thing that is wrong.

    Parameters
    ----------
    path : str
        Field path, as ``spec.services[0].name``; empty for the whole.
    message : str
    """

    path: str
    message: str

    def __str__(self):
        """Give path and message."""
        return f"{self.path}: {self.message}" if self.path else self.message


@attrs.frozen
class Document:
    """One YAML document.

    Parameters
    ----------
    source : str
        Name of the file.
    data : object
        Mappings with text keys, lists and scalars.
    lines : dict of str to int
        One-based line of each field path.
    """

    source: str
    data: object
    lines: dict[str, int]

    def locate(self, fault):
        """Return a fault as ``file:line: path: message``.

        Parameters
        ----------
        fault : Fault
            A path without a line of its own gets that of the nearest field above.
        """
        path = fault.path
        while path and path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return f"{self.source}:{self.lines.get(path, 1)}: {fault}"


class _Refused(yaml.YAMLError):
    """Valid YAML that is not taken."""

    def __init__(self, mark, message):
        super().__init__(message)
        self.problem_mark = mark
        self.problem = message


class _Loader(yaml.SafeLoader):
    """Refuses references and deep nesting.

    A few lines of nested references expand to gigabytes ("billion laughs"): memory
    runs out while the file still looks small. No declaration needs them.
    """

    depth = 0

    def compose_node(self, parent, index):
        """Compose one node."""
        event = self.peek_event()
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise _Refused(event.start_mark, "anchors and aliases are not accepted")
        self.depth += 1
        if self.depth > MAX_DEPTH:
            raise _Refused(event.start_mark, f"nested deeper than {MAX_DEPTH} levels")
        try:
            return super().compose_node(parent, index)
        finally:
            self.depth -= 1


def read_file(path) -> Result:
    """Read the documents of a YAML file.

    Parameters
    ----------
    path : str

    Returns
    -------
    documents : Success of tuple of Document, or Failure of DocumentError
    """
    try:
        with open(path, "rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return Failure(DocumentError([f"{path}: {error.strerror}"]))
    if len(data) > MAX_FILE_BYTES:
        return Failure(DocumentError([f"{path}: longer than {MAX_FILE_BYTES} bytes"]))
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        return Failure(DocumentError([f"{path}: not UTF-8 text (byte {error.start})"]))
    return read_documents(text, path)


def read_documents(text, source) -> Result:
    """Read YAML documents.

    Parameters
    ----------
    text : str
    source : str
        Name of the file, for messages.

    Returns
    -------
    documents : Success of tuple of Document, or Failure of DocumentError
        Duplicate keys, keys that are not text, references and empty input are
        faults.
    """
    documents, faults = [], []
    loader = None
    try:
        loader = _Loader(text)
        while loader.check_node():
            node = loader.get_node()
            if not _is_empty(node):
                documents.append(_document(loader, node, source, faults))
    except yaml.YAMLError as error:
        faults.append(_syntax_fault(error, source))
    finally:
        if loader is not None:
            loader.dispose()
    if not documents and not faults:
        faults.append(f"{source}: the file is empty")
    return Failure(DocumentError(faults)) if faults else Success(tuple(documents))


def _is_empty(node):
    return isinstance(node, yaml.ScalarNode) and node.tag.endswith(":null")


def _document(loader, node, source, faults):
    lines = {}

    def build(node, path):
        lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.CollectionNode) and node.tag not in _PLAIN_TAGS:
            faults.append(f"{source}:{lines[path]}: tag {node.tag!r} is not accepted")
            return None
        if isinstance(node, yaml.SequenceNode):
            return [build(n, f"{path}[{i}]") for i, n in enumerate(node.value)]
        if isinstance(node, yaml.MappingNode):
            return build_mapping(node, path)
        return build_scalar(node, path)

    def build_scalar(node, path):
        try:
            value = loader.construct_object(node)
        except (yaml.YAMLError, ValueError) as error:
            problem = getattr(error, "problem", None) or str(error)
            faults.append(f"{source}:{lines[path]}: {path}: {problem}")
            return None
        plain = value is None or isinstance(value, (str, bool, int, float))
        if not plain or (isinstance(value, float) and not math.isfinite(value)):
            message = f"{node.value!r}: put it in quotes"
            faults.append(f"{source}:{lines[path]}: {path}: {message}")
        return value

    def build_mapping(node, path):
        result = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = getattr(key_node, "value", None)
            if key_node.tag != "tag:yaml.org,2002:str":
                faults.append(f"{source}:{line}: key {key!r}: put it in quotes")
                continue
            if key in result:
                faults.append(f"{source}:{line}: {path or 'document'}: {key!r} twice")
            below = f"{path}.{key}" if path else key
            result[key] = build(value_node, below)
            lines[below] = line
        return result

    return Document(source, build(node, ""), lines)


def _syntax_fault(error, source):
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    where = f"{source}:{mark.line + 1}" if mark else source
    return f"{where}: {problem}"
