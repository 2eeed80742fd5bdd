"""Tests of settings files: validation, error messages and secrets."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from result import Err, Ok

from knapweedlead.settings import DaemonSettings, load_settings

ROOT = Path(__file__).resolve().parents[3]

VALID = {
    "name": "wear-1",
    "instance": "i-1",
    "region": "r",
    "data_centre": "boston",
    "service": "wear",
    "link_address": "127.0.0.1:7000",
    "caller_address": "127.0.0.1:8000",
    "operator_address": "127.0.0.1:9000",
    "fleet_secret": "a-long-fleet-secret",
    "operator_credential": "a-long-credential",
    "backend_server": {
        "address": "127.0.0.1:8080",
        "slots": 8,
        "cold_slots": 2,
        "cold_start_s": 1.5,
        "connections": 100,
    },
    "store": {"address": "127.0.0.1:8500"},
}


def load(tmp_path, document):
    path = tmp_path / "daemon.json"
    path.write_text("// a comment\n" + json.dumps(document))
    return load_settings(DaemonSettings, str(path))


def test_valid_settings_with_comments_load(tmp_path):
    assert isinstance(load(tmp_path, VALID), Ok)


@pytest.mark.parametrize(
    ("change", "field", "expected"),
    [
        ({"nmae": "x"}, "nmae", "one of name"),
        ({"link_address": "localhost:70"}, "link_address", "literal IP"),
        ({"caller_address": "127.0.0.1:99999"}, "caller_address", "literal IP"),
        ({"fleet_secret": "short"}, "fleet_secret", "at least 16"),
        ({"seed": "1"}, "seed", "an integer"),
        (
            {"backend_server": {"address": "1.2.3.4:80"}},
            "backend_server.slots",
            "a val",
        ),
        ({"store": {"address": "1.2.3.4:1", "timeout_s": 0}}, "store.timeout_s", "s"),
        ({"store": 7}, "store", "an object"),
    ],
)
def test_error_names_file_field_and_expected_value(tmp_path, change, field, expected):
    loaded = load(tmp_path, VALID | change)
    assert isinstance(loaded, Err)
    text = str(loaded.err_value)
    assert "daemon.json" in text
    assert f"'{field}'" in text
    assert expected in text
    assert len(text.splitlines()) == 1


def test_secret_is_absent_from_errors_and_repr(tmp_path):
    loaded = load(tmp_path, VALID | {"fleet_secret": "hunter2"})
    assert "hunter2" not in str(loaded)
    valid = load(tmp_path, VALID).unwrap()
    assert "a-long-fleet-secret" not in repr(valid)
    assert "a-long-credential" not in repr(valid)


def test_daemon_with_invalid_settings_exits_with_2_and_one_line(tmp_path):
    path = tmp_path / "daemon.json"
    path.write_text(json.dumps(VALID | {"unknown": 1}))
    done = subprocess.run(
        [sys.executable, "-m", "knapweedlead.daemon.main", f"--settings={path}"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=30,
    )
    assert done.returncode == 2
    assert len(done.stderr.strip().splitlines()) == 1
