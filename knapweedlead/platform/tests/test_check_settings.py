"""``knapweedleadctl check-settings`` on the files of the users' platform."""

import copy
import json

import pytest

from knapweedlead.operators._command_line import CommandLine
from knapweedlead.platform.tests.fleets import CONFIGURATION

BOOT = {
    "nodeName": "sidecar-1",
    "ip": "10.0.0.1",
    "zone": "north",
    "region": "land",
    "service": "front",
    "listen": {
        "outbound": "10.0.0.1:7002",
        "control": "10.0.0.1:7003",
        "ready": "10.0.0.1:7004",
    },
    "appAddr": "10.0.0.1:7005",
    "internalPorts": [7006, 7007],
    "platform": {"address": "10.0.0.9:7001", "ttlMinMs": 1000},
    "heartbeatMs": 1500,
    "bounds": {
        "graceS": 6,
        "drainMs": 2000,
        "revokeMs": 5000,
        "revokeStrict": True,
        "budgetRatio": 0.2,
        "budgetExtra": 50,
        "quotaWindowS": 5,
    },
    "limits": {"memoryMb": 300},
}


def check(tmp_path, document, kind):
    """Check a document that is written to a file."""
    path = tmp_path / "file.json"
    path.write_text(json.dumps(document))
    CommandLine().check_settings(str(path), kind=kind)


def damaged_configuration():
    """Return a configuration with a route and an account that cannot be decoded."""
    document = copy.deepcopy(CONFIGURATION)
    document["virtualHosts"][0]["paths"][0]["timeoutMs"] = "soon"
    document["tenants"][0]["ratePerS"] = "many"
    return document


def test_each_damaged_entry_of_a_configuration_is_named(tmp_path, capsys):
    with pytest.raises(SystemExit) as exit_info:
        check(tmp_path, damaged_configuration(), "configuration")
    assert exit_info.value.code == 2
    problems = capsys.readouterr().err.splitlines()
    assert len(problems) == 2
    assert any("paths[0]: " in p and "timeoutMs" in p and "soon" in p for p in problems)
    assert any(
        "tenants[0]: " in p and "ratePerS" in p and "many" in p for p in problems
    )


def test_unreadable_configuration_is_reported(tmp_path, capsys):
    with pytest.raises(SystemExit) as exit_info:
        check(tmp_path, {"version": "r1"}, "configuration")
    assert exit_info.value.code == 2
    assert "virtualHosts" in capsys.readouterr().err


def test_valid_configuration_is_summed_up(tmp_path, capsys):
    check(tmp_path, CONFIGURATION, "configuration")
    assert "version 3, 3 routes, 1 account" in capsys.readouterr().out


def test_missing_field_of_a_boot_file_is_named(tmp_path, capsys):
    document = {name: value for name, value in BOOT.items() if name != "appAddr"}
    with pytest.raises(SystemExit) as exit_info:
        check(tmp_path, document, "boot")
    assert exit_info.value.code == 2
    assert "appAddr" in capsys.readouterr().err


def test_valid_boot_file_is_named(tmp_path, capsys):
    check(tmp_path, BOOT, "boot")
    assert "sidecar-1" in capsys.readouterr().out


@pytest.mark.parametrize("kind", ["daemon", "boot", "configuration"])
def test_missing_file_is_reported_without_a_traceback(tmp_path, capsys, kind):
    with pytest.raises(SystemExit) as exit_info:
        CommandLine().check_settings(str(tmp_path / "none.json"), kind=kind)
    assert exit_info.value.code == 2
    assert "none.json" in capsys.readouterr().err


def test_unknown_kind_of_file_is_refused_with_the_known_ones(tmp_path, capsys):
    with pytest.raises(SystemExit) as exit_info:
        check(tmp_path, {}, "other")
    assert exit_info.value.code == 2
    assert "boot, configuration, daemon" in capsys.readouterr().err
