"""The metrics page lists every counter of the daemon on the platform."""

import re
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

import knapweedlead.sidecar
from knapweedlead.mesh import Reason
from knapweedlead.sidecar._recorder import MeshRecorder
from knapweedlead.sidecar.tests.test_reload import make_sidecar

PACKAGE = Path(knapweedlead.sidecar.__file__).parent
PAGE = PACKAGE.parents[1] / "docs" / "PLATFORM-METRICS.md"
TEXT = PAGE.read_text("utf-8")
COUNT = re.compile(r"\.(?:set_)?count\(\s*\"([a-z_.]+)\"")


def test_counters_match_the_metrics_page():
    sources = [path.read_text("utf-8") for path in PACKAGE.glob("*.py")]
    counted = {name for source in sources for name in COUNT.findall(source)}
    assert counted == set(re.findall(r"^\| `([a-z_.]+)` \|", TEXT, re.MULTILINE))


@pytest.mark.parametrize("reason", ["rate_exceeded", "shed", "configuration_stale"])
def test_documented_reasons_exist(reason):
    assert f"`{reason}`" in TEXT
    assert Reason(reason)


def test_exposition_is_parsed_by_prometheus():
    sidecar, _ = make_sidecar()
    recorder: MeshRecorder = sidecar.recorder
    recorder.count("calls.refused", Reason.SHED.value)
    recorder.bad_input("heartbeat", "no such thing")
    families = {
        family.name: family.samples
        for family in text_string_to_metric_families(recorder.render().decode())
    }
    (sample,) = families["knapweedlead_calls_refused_total"]
    assert (sample.labels, sample.value) == ({"label": "shed"}, 1.0)
    assert "knapweedlead_bad_input_total" in families
