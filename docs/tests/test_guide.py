"""Each command in the operators' pages does what the page says."""

import re
import shlex
from pathlib import Path

import pytest

from standins.deployment import apply_resources
from standins.fleet import Fleet

GUIDE = Path(__file__).resolve().parents[1] / "guide"
EXAMPLES = GUIDE.parents[1] / "examples"

_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
_EXIT = re.compile(r"\s+# exit (\d+)$")


def commands_of(page):
    lines = "".join(_BLOCK.findall(page.read_text("utf-8"))).splitlines()
    for line in filter(None, lines):
        found = _EXIT.search(line)
        command = shlex.split(_EXIT.sub("", line))
        assert command[0] == "knapweedleadctl", f"{page.name}: {line}"
        yield line, command[1:], int(found.group(1)) if found else 0


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        fleet.add("sign-offs-1", "sign_offs", "boston")
        fleet.add("sign-offs-2", "sign_offs", "worcester")
        apply_resources(fleet, EXAMPLES / "granite_span" / "resources.json")
        yield fleet


@pytest.mark.parametrize("page", sorted(GUIDE.glob("*.md")), ids=lambda p: p.stem)
def test_commands_of_the_page_end_as_it_says(fleet, page):
    for line, arguments, expected in commands_of(page):
        done = fleet.run_operator_command(*arguments)
        assert done.returncode == expected, f"{line}\n{done.stdout}{done.stderr}"
