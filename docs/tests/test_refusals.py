"""The refusals page lists every reason with its status and outcomes."""

from pathlib import Path

from knapweedlead.requests import (
    Outcome,
    RefusalReason,
    RetryReason,
    outcomes_of_reason,
    status_of_reason,
)

PAGE = Path(__file__).parent.parent / "REFUSALS.md"


def rows(heading):
    """Return the cells of the rows below a table heading."""
    lines = PAGE.read_text("utf-8").splitlines()
    start = lines.index(heading) + 2
    table = []
    for line in lines[start:]:
        if not line.startswith("|"):
            break
        table.append([cell.strip() for cell in line.strip("|").split("|")])
    return table


def test_every_refusal_reason_has_a_row_with_status_outcomes_and_advice():
    table = rows("| reason | status | outcome | meaning | what to do |")
    assert [row[0].strip("`") for row in table] == [r.value for r in RefusalReason]
    for name, status, outcomes, meaning, advice in table:
        reason = RefusalReason(name.strip("`"))
        assert int(status) == status_of_reason(reason)
        listed = {Outcome(o.strip().strip("`")) for o in outcomes.split(",")}
        assert listed == outcomes_of_reason(reason), name
        assert meaning
        assert advice


def test_every_retry_reason_has_a_row():
    table = rows("| reason | after |")
    assert [row[0].strip("`") for row in table] == [r.value for r in RetryReason]
