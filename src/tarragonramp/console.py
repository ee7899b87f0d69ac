"""What the operators' command prints: tables for people, data for programs."""

import datetime
import difflib
import json
from typing import Literal

import yaml

__all__ = ["Output", "audit_rows", "difference", "pending", "rendered", "table"]

Output = Literal["table", "yaml", "json"]


def rendered(data, output, as_table):
    """Return data in the wanted form.

    Parameters
    ----------
    data : dict or list
    output : {"table", "yaml", "json"}
    as_table : callable
        ``as_table(data) -> str``
    """
    if output == "json":
        return json.dumps(data, indent=2)
    if output == "yaml":
        return yaml.safe_dump(data, sort_keys=False, allow_unicode=True).rstrip()
    return as_table(data)


def table(rows, columns):
    """Return rows with their columns in line.

    Parameters
    ----------
    rows : list of dict
    columns : sequence of str
        Keys of the rows; the title says them with spaces.
    """
    titles = [column.replace("_", " ") for column in columns]
    cells = [titles] + [[_cell(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def difference(before, after, label):
    """Return the unified difference of two specs; empty if there is none.

    Parameters
    ----------
    before, after : dict
    label : str
        Names the object.
    """
    lines = difflib.unified_diff(
        _lines(before),
        _lines(after),
        f"{label} (platform)",
        f"{label} (declared)",
        lineterm="",
    )
    return "\n".join(lines)


def pending(status):
    """Return what has not converged yet, one text each.

    Parameters
    ----------
    status : dict
        As a daemon answers it.
    """
    found = []
    intended = status["intended_version"]
    if not status["platform_reached"]:
        found.append("platform not reached: a newer configuration may be unknown here")
    found += [f"cannot be read: {text}" for text in status["unreadable"]]
    for row in status["failure_domains"]:
        name = row["failure_domain"]
        lost = row["order"] == "lost"
        if not row["answers"] and not lost:
            found.append(f"failure domain {name}: no daemon answers")
        if not row["in_force"] and not lost:
            who = ", ".join(row["lagging"]) or "no daemon has reported"
            version = row["in_force_version"]
            found.append(f"failure domain {name}: {version} of {intended} ({who})")
        if row["order"] != "in" and row["slices_owned"]:
            kept = row["slices_owned"]
            found.append(f"failure domain {name}: still holds {kept} slices")
    for row in status["services"]:
        label = f"{row['team']}/{row['service']}"
        if row["leaving"]:
            found.append(f"{label}: leaving, {row['owned'] + row['releasing']} slices")
        elif row["owned"] < row["slices"]:
            found.append(f"{label}: {row['owned']} of {row['slices']} slices owned")
    return found


def audit_rows(entries):
    """Return audit entries with what a person reads first."""
    return [
        {
            "time": _time(entry["at_ms"]),
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


def _time(at_ms):
    moment = datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _lines(spec):
    return yaml.safe_dump(spec, sort_keys=True).splitlines() if spec else []


def _cell(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    return str(value)
