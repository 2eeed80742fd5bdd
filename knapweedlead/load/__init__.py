"""Open-loop load generator with retries and client accounts."""

from knapweedlead.load._generator import LoadGenerator
from knapweedlead.load._plan import LoadPlan, StreamPlan, SurgePlan
from knapweedlead.load._plot import plot_report
from knapweedlead.load._records import CallRecord
from knapweedlead.load._report import LoadReportDocument, build_report, render_report

__all__ = [
    "CallRecord",
    "LoadGenerator",
    "LoadPlan",
    "LoadReportDocument",
    "StreamPlan",
    "SurgePlan",
    "build_report",
    "plot_report",
    "render_report",
]
