"""Plain-text tables."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any


def render_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows under column titles, each column padded to equal width.

    Examples
    --------
    >>> print(render_table(["name", "n"], [["a", 1]]))
    name  n
    a     1
    """
    texts = [list(columns), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    )


def render_resources(items: Sequence[dict[str, Any]]) -> str:
    """Return resources of one kind as a table."""
    if not items:
        return "none"
    columns = list(dict.fromkeys(key for item in items for key in item))
    return render_table(columns, ([item.get(c, "") for c in columns] for item in items))


def render_status(document: dict[str, Any]) -> str:
    """Return a summary of the fleet and a table of members by data centre."""
    members = sorted(
        document["members"],
        key=lambda member: (member["data_centre"], member["service"], member["name"]),
    )
    states = Counter(member["state"] for member in members)
    revision = document["revision"]
    current = sum(1 for m in members if m.get("revision") == revision)
    summary = [
        f"revision {revision} active on {current} of {len(members)} members",
        "states: " + ", ".join(f"{n} {state}" for state, n in sorted(states.items())),
    ]
    columns = ["data_centre", "service", "name", "state", "revision"]
    columns += ["in_flight", "queued", "limit", "notes"]
    rows = ([*(m.get(c, "") for c in columns[:-1]), _notes(m)] for m in members)
    return "\n".join([*summary, "", render_table(columns, rows)])


def _notes(member: dict[str, Any]) -> str:
    flags = [flag for flag in ("cold", "draining") if member.get(f"is_{flag}")]
    refused = member.get("refused_priority")
    refusals = [] if refused is None else [f"refusing priority {refused} and up"]
    return ", ".join([*flags, *refusals])
