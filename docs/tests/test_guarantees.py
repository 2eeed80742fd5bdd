"""The guarantees page refers only to existing tests and modules."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "GUARANTEES.md").read_text("utf-8")

_NAME = re.compile(r"`(test_\w+)`")
_PATH = re.compile(r"`((?:knapweedlead|standins|benchmarks|docs)/[\w/.]+)`")
_DEFINITION = re.compile(r"def (test_\w+)\(")


def test_every_named_test_exists():
    sources = [path.read_text("utf-8") for path in ROOT.glob("*/**/tests/**/test_*.py")]
    sources += [path.read_text("utf-8") for path in ROOT.glob("benchmarks/**/*.py")]
    existing = {name for source in sources for name in _DEFINITION.findall(source)}
    assert set(_NAME.findall(PAGE)) - existing == set()


def test_every_named_module_exists():
    paths = set(_PATH.findall(PAGE))
    assert paths
    assert [path for path in sorted(paths) if not (ROOT / path).exists()] == []


def test_every_guarantee_lists_what_is_not_proved():
    guarantees = PAGE.split("\n## ")[1:]
    assert len(guarantees) == 12
    for guarantee in guarantees:
        for part in ("- Mechanism:", "- Modules:", "- Tests:", "- Not proved:"):
            assert part in guarantee, f"{guarantee.splitlines()[0]}: {part}"
