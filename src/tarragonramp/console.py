"""Output formats of the operators' command: tables for people, YAML and JSON."""

import datetime
import difflib
import json
from typing import Literal

import yaml

__all__ = [
    "Output",
    "audit_rows",
    "describe_pending",
    "spec_diff",
    "format_table",
    "render",
]

Output = Literal["table", "yaml", "json"]


def render(data, output, to_table):
    """Format data for output.

    Parameters
    ----------
    data : dict or list
    output : {"table", "yaml", "json"}
    to_table : callable
        ``to_table(data) -> str``
    """
    if output == "json":
        return json.dumps(data, indent=2)
    if output == "yaml":
        return yaml.safe_dump(data, sort_keys=False, allow_unicode=True).rstrip()
    return to_table(data)


def format_table(rows, columns):
    """Format rows as a text table with aligned columns.

    Parameters
    ----------
    rows : list of dict
    columns : sequence of str
        Keys of the rows; the header shows them with spaces for underscores.
    """
    titles = [column.replace("_", " ") for column in columns]
    cells = [titles] + [[_format_cell(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def spec_diff(before, after, label):
    """Return the unified diff of two specs; empty if they are equal.

    Parameters
    ----------
    before, after : dict
    label : str
        Name of the object in the diff's header.
    """
    lines = difflib.unified_diff(
        _yaml_lines(before),
        _yaml_lines(after),
        f"{label} (platform)",
        f"{label} (declared)",
        lineterm="",
    )
    return "\n".join(lines)


def describe_pending(status):
    """Describe what has not converged yet.

    Parameters
    ----------
    status : dict
        Response of a daemon to ``/operator/status``.

    Returns
    -------
    found : list of str
        One description for each cause; empty if everything has converged.
    """
    found = []
    intended = status["intended_version"]
    if not status["platform_reached"]:
        found.append("platform not reached: a newer configuration may not be known yet")
    found += [f"cannot be read: {text}" for text in status["unreadable"]]
    for row in status["failure_domains"]:
        name = row["failure_domain"]
        is_lost = row["order"] == "lost"
        if not row["answers"] and not is_lost:
            found.append(f"failure domain {name}: no daemon answers")
        if not row["in_force"] and not is_lost:
            daemons = ", ".join(row["lagging"]) or "no daemon has reported"
            version = row["in_force_version"]
            found.append(
                f"failure domain {name}: version {version} of {intended} in force "
                f"({daemons})"
            )
        if row["order"] != "in" and row["slices_owned"]:
            n_slices = row["slices_owned"]
            found.append(f"failure domain {name}: still holds {n_slices} slices")
    for row in status["services"]:
        label = f"{row['team']}/{row['service']}"
        if row["leaving"]:
            found.append(f"{label}: leaving, {row['owned'] + row['releasing']} slices")
        elif row["owned"] < row["slices"]:
            found.append(f"{label}: {row['owned']} of {row['slices']} slices owned")
    return found


def audit_rows(entries):
    """Return a table row for each audit entry."""
    return [
        {
            "time": _format_time(entry["at_ms"]),
            "actor": entry["actor"],
            "from": entry["remote"],
            "action": entry["action"],
            "object": f"{entry['kind']}/{entry['name']}".rstrip("/"),
            "version": f"{entry['before_version']} -> {entry['after_version'] or '-'}",
            "outcome": entry["outcome"],
            "detail": entry["detail"],
        }
        for entry in entries
    ]


def _format_time(at_ms):
    timestamp = datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC)
    return timestamp.strftime("%Y-%m-%dT%H:%M:%SZ")


def _yaml_lines(spec):
    return yaml.safe_dump(spec, sort_keys=True).splitlines() if spec else []


def _format_cell(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    return str(value)
