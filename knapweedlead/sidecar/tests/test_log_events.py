"""The operations page lists every event that the daemon logs."""

import re
from pathlib import Path

import knapweedlead.sidecar

PACKAGE = Path(knapweedlead.sidecar.__file__).parent
PAGE = (PACKAGE.parents[1] / "docs" / "OPERATIONS.md").read_text("utf-8")
EVENT = re.compile(
    r"\.log\(\s*\"([a-z_]+)\"|event = \"([a-z_]+)\"|else \"([a-z_]+)\"$", re.M
)
ROW = re.compile(r"^\| (`[a-z_]+`(?:, `[a-z_]+`)*) \|", re.MULTILINE)


def test_logged_events_match_the_operations_page():
    sources = "\n".join(p.read_text("utf-8") for p in PACKAGE.glob("*.py"))
    logged = {name for groups in EVENT.findall(sources) for name in groups if name}
    documented = {name for row in ROW.findall(PAGE) for name in re.findall(r"\w+", row)}
    assert logged == documented
