"""Reservation of listener addresses for processes that start later."""

import subprocess
import sys

from standins.fleet import free_address

COUNT = 40
RESERVE_SCRIPT = f"""
import sys
from standins.fleet import free_address
print(*[free_address() for _ in range({COUNT})], flush=True)
sys.stdin.read()
"""


def test_concurrent_test_runs_reserve_different_ports():
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", RESERVE_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    reserved = [free_address() for _ in range(COUNT)]
    reserved += [a for process in processes for a in process.stdout.readline().split()]
    for process in processes:
        process.communicate()
    assert len(reserved) == len(set(reserved)) == 5 * COUNT


def test_one_run_reserves_no_port_twice():
    reserved = [free_address() for _ in range(200)]
    assert len(set(reserved)) == len(reserved)
