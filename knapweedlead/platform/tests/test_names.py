"""The platform's names occur only in its adapter."""

import re
from pathlib import Path

import knapweedlead

ROOT = Path(knapweedlead.__file__).parent
# The deadline header is left out, since the product's own interface has one of the
# same name.
NAMES = re.compile(
    r"Knapweedlead-|knapweedlead-(request-id|expect|tenant|caller|response"
    r"|not-executed|instance-id|cold)|server-(limit|leaving)|/-/|kv-(key|range|watch|txn|lease|keep)"
    r"|KNAPWEEDLEAD_BOOT|nodeName|virtualHosts|apiKeys|heartbeatAddress|appAddr"
    r"|timeoutMs|coldRemainingMs|op/(config|evacuate)",
)


def test_platform_names_occur_only_in_the_adapter():
    found = [
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        if not path.is_relative_to(ROOT / "platform")
        and NAMES.search(path.read_text("utf-8"))
    ]
    assert found == []


def test_adapter_reads_no_clock_and_no_random_numbers():
    clocks = re.compile(r"\b(time|random)\.\w+\(|loop\.time\(\)")
    found = [
        path.name
        for path in (ROOT / "platform").glob("*.py")
        if path.name != "_store.py" and clocks.search(path.read_text("utf-8"))
    ]
    assert found == []
