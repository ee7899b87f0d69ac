"""Strict reading of YAML files: ambiguous or unsafe input is rejected."""

import math

import attrs
import yaml
from returns.result import Failure, Result, Success

from .errors import DocumentError

__all__ = ["MAX_FILE_BYTES", "Document", "Fault", "read_documents", "read_file"]

MAX_FILE_BYTES = 1_048_576
"""Maximum file size; the platform stores values up to this size."""

_ACCEPTED_COLLECTION_TAGS = ("tag:yaml.org,2002:map", "tag:yaml.org,2002:seq")

MAX_DEPTH = 20
"""Maximum nesting depth: far above that of any declaration, far below the recursion
limit of Python."""


@attrs.frozen
class Fault:
    """One validation error.

    Parameters
    ----------
    path : str
        Field path such as ``spec.services[0].name``; empty for the document as a whole.
    message : str
    """

    path: str
    message: str

    def __str__(self):
        """Return path and message."""
        return f"{self.path}: {self.message}" if self.path else self.message


@attrs.frozen
class Document:
    """One YAML document.

    Parameters
    ----------
    source : str
        Name of the file.
    data : object
        Mappings with string keys, lists and scalars.
    lines : dict of str to int
        One-based line number of each field path.
    """

    source: str
    data: object
    lines: dict[str, int]

    def locate(self, fault):
        """Format a fault as ``file:line: path: message``.

        Parameters
        ----------
        fault : Fault
            If its path has no line, that of the nearest enclosing field is used.
        """
        path = fault.path
        while path and path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return f"{self.source}:{self.lines.get(path, 1)}: {fault}"


class _RejectedYamlError(yaml.YAMLError):
    """Valid YAML that is not accepted here."""

    def __init__(self, mark, message):
        super().__init__(message)
        self.problem_mark = mark
        self.problem = message


class _Loader(yaml.SafeLoader):
    """YAML loader that rejects aliases and deep nesting.

    A few lines of nested aliases expand to gigabytes ("billion laughs") and exhaust the
    memory although the file is small. No declaration needs aliases.
    """

    depth = 0

    def compose_node(self, parent, index):
        """Compose one node, unless it is an alias or nested too deeply."""
        event = self.peek_event()
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise _RejectedYamlError(
                event.start_mark, "anchors and aliases are not accepted"
            )
        self.depth += 1
        if self.depth > MAX_DEPTH:
            raise _RejectedYamlError(
                event.start_mark, f"nested deeper than {MAX_DEPTH} levels"
            )
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
        Name of the file, used in messages.

    Returns
    -------
    documents : Success of tuple of Document, or Failure of DocumentError
        Duplicate keys, non-string keys, aliases and empty input are faults.
    """
    documents, faults = [], []
    loader = None
    try:
        loader = _Loader(text)
        while loader.check_node():
            node = loader.get_node()
            if not _is_empty(node):
                documents.append(_construct_document(loader, node, source, faults))
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


def _construct_document(loader, node, source, faults):
    """Construct a Document from a node; append what is not accepted to ``faults``."""
    lines = {}

    def construct(node, path):
        lines[path] = node.start_mark.line + 1
        if (
            isinstance(node, yaml.CollectionNode)
            and node.tag not in _ACCEPTED_COLLECTION_TAGS
        ):
            faults.append(f"{source}:{lines[path]}: tag {node.tag!r} is not accepted")
            return None
        if isinstance(node, yaml.SequenceNode):
            return [construct(n, f"{path}[{i}]") for i, n in enumerate(node.value)]
        if isinstance(node, yaml.MappingNode):
            return construct_mapping(node, path)
        return construct_scalar(node, path)

    def construct_scalar(node, path):
        try:
            value = loader.construct_object(node)
        except (yaml.YAMLError, ValueError) as error:
            problem = getattr(error, "problem", None) or str(error)
            faults.append(f"{source}:{lines[path]}: {path}: {problem}")
            return None
        is_plain = value is None or isinstance(value, (str, bool, int, float))
        if not is_plain or (isinstance(value, float) and not math.isfinite(value)):
            message = f"{node.value!r}: put it in quotes"
            faults.append(f"{source}:{lines[path]}: {path}: {message}")
        return value

    def construct_mapping(node, path):
        result = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = getattr(key_node, "value", None)
            if key_node.tag != "tag:yaml.org,2002:str":
                faults.append(f"{source}:{line}: key {key!r}: put it in quotes")
                continue
            if key in result:
                faults.append(f"{source}:{line}: {path or 'document'}: {key!r} twice")
            field_path = f"{path}.{key}" if path else key
            result[key] = construct(value_node, field_path)
            lines[field_path] = line
        return result

    return Document(source, construct(node, ""), lines)


def _syntax_fault(error, source):
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    location = f"{source}:{mark.line + 1}" if mark else source
    return f"{location}: {problem}"
