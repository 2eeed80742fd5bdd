"""Command ``knapweedlead-load``: sends the load of a plan and reports the results."""

import json
import sys
from pathlib import Path

import fire
import uvloop
from result import Err

from knapweedlead.load._generator import LoadGenerator
from knapweedlead.load._plan import LoadPlan
from knapweedlead.load._plot import plot_report
from knapweedlead.load._report import build_report, render_report
from knapweedlead.settings import load_settings

EXIT_BAD_PLAN = 2


def run_load(plan: str, report: str = "", plot: str = "") -> None:
    """Send the load of a plan, print a table and write the report.

    Parameters
    ----------
    plan : str
        Plan file, in JSON with comments.
    report : str
        File for the JSON report; if empty, it is printed after the table.
    plot : str
        Image file for the plot; if empty, nothing is plotted.
    """
    loaded = load_settings(LoadPlan, str(plan))
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        raise SystemExit(EXIT_BAD_PLAN)
    generator = LoadGenerator(loaded.ok_value)
    records = uvloop.run(generator.run())
    document = build_report(loaded.ok_value, records)
    print(render_report(document))
    text = json.dumps(document.to_document())
    if report:
        Path(report).write_text(text + "\n", "utf-8")
    else:
        print(text)
    if plot:
        plot_report(document, plot)


def main() -> None:
    """Run the command line."""
    fire.Fire(run_load)


if __name__ == "__main__":
    main()
