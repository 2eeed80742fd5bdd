"""Checks of values that come from the store, from peers or from other programs.

Each check returns the value in its type, or raises a `ValueError` that names what was
expected and what was found. They raise nothing else, whatever the value.
"""

from knapweedlead.checks._values import (
    FIRST_FINAL_STATUS,
    FIRST_INTERIM_STATUS,
    LAST_STATUS,
    MAX_COUNT,
    MAX_NAME_LENGTH,
    check_address,
    check_amount,
    check_count,
    check_final_status,
    check_flag,
    check_header_name,
    check_list,
    check_name,
    check_number,
    check_text,
    describe,
)

__all__ = [
    "FIRST_FINAL_STATUS",
    "FIRST_INTERIM_STATUS",
    "LAST_STATUS",
    "MAX_COUNT",
    "MAX_NAME_LENGTH",
    "check_address",
    "check_amount",
    "check_count",
    "check_final_status",
    "check_flag",
    "check_header_name",
    "check_list",
    "check_name",
    "check_number",
    "check_text",
    "describe",
]
