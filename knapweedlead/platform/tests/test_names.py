"""The platform's names stand in its adapter and nowhere else in the product."""

import re
from pathlib import Path

import knapweedlead

ROOT = Path(knapweedlead.__file__).parent
# The deadline header is missing: the product's own interface has one of that name.
NAMES = re.compile(
    r"Knapweedlead-|knapweedlead-(request-id|expect|tenant|caller|response"
    r"|not-executed|instance-id|cold)|/-/|kv-(key|range|watch|txn|lease|keep)"
    r"|KNAPWEEDLEAD_BOOT|nodeName|virtualHosts|apiKeys|heartbeatAddress|appAddr"
    r"|timeoutMs|coldRemainingMs|op/(config|evacuate)",
)


def test_names_of_the_platform_stand_in_its_adapter_only():
    found = [
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        if not path.is_relative_to(ROOT / "platform")
        and NAMES.search(path.read_text("utf-8"))
    ]
    assert found == []


def test_adapter_decides_nothing():
    clocks = re.compile(r"\b(time|random)\.\w+\(|loop\.time\(\)")
    found = [
        path.name
        for path in (ROOT / "platform").glob("*.py")
        if path.name != "_store.py" and clocks.search(path.read_text("utf-8"))
    ]
    assert found == []
