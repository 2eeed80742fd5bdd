"""Tests of the search in log files."""

from knapweedlead.operators._explain import find_daemon_lines, find_request_lines

ENTRY = """\
time=100.000 daemon=a event=started service=front
time=107.100 daemon=a event=call_refused request=r1 reason=link_lost status=502 to=b
time=107.100 daemon=a event=call_refused request=r10 reason=shed status=503 to=""
time=107.090 daemon=a event=link_lost peer=b detail="connection closed"
"""
GUARD = """\
time=107.000 daemon=b event=attempt_failed request=r1 reason=backend_server_failed
time=150.000 daemon=b event=started service=front
"""


def write(tmp_path):
    files = [tmp_path / "a.log", tmp_path / "b.log"]
    files[0].write_text(ENTRY)
    files[1].write_text(GUARD)
    return files


def test_lines_of_a_request_are_found_in_all_files_and_ordered_by_time(tmp_path):
    lines = find_request_lines("r1", write(tmp_path))
    assert [line.time for line in lines] == [107.0, 107.1]
    assert "daemon=b" in lines[0].text


def test_daemon_lines_exclude_requests_and_distant_times(tmp_path):
    lines = find_daemon_lines("a", 107.1, 2.0, write(tmp_path))
    assert [line.text.split()[2] for line in lines] == ["event=link_lost"]
