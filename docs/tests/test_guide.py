"""Each command in the operators' guide exits with the documented status."""

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


def read_commands(page):
    lines = "".join(_BLOCK.findall(page.read_text("utf-8"))).splitlines()
    for line in filter(None, lines):
        exit_status = _EXIT.search(line)
        command = shlex.split(_EXIT.sub("", line))
        assert command[0] == "knapweedleadctl", f"{page.name}: {line}"
        yield line, command[1:], int(exit_status.group(1)) if exit_status else 0


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        fleet.add("sign-offs-1", "sign_offs", "boston")
        fleet.add("sign-offs-2", "sign_offs", "worcester")
        apply_resources(fleet, EXAMPLES / "granite_span" / "resources.json")
        yield fleet


@pytest.mark.parametrize("page", sorted(GUIDE.glob("*.md")), ids=lambda p: p.stem)
def test_commands_exit_with_the_documented_status(fleet, page):
    for line, arguments, expected in read_commands(page):
        result = fleet.run_operator_command(*arguments)
        assert result.returncode == expected, f"{line}\n{result.stdout}{result.stderr}"
