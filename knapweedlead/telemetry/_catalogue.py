"""All metrics of a daemon."""

from knapweedlead.telemetry._counters import COUNTERS
from knapweedlead.telemetry._gauges import GAUGES, HISTOGRAMS

MAX_LABEL_SETS = 256
"""Greatest number of label sets kept for each metric."""

METRICS = (*COUNTERS, *HISTOGRAMS, *GAUGES)

SPEC_BY_NAME = {spec.name: spec for spec in METRICS}
