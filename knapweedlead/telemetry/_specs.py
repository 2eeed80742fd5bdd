"""What describes a metric: its kind, its unit and its labels."""

import enum

import attrs


class MetricKind(enum.Enum):
    """How a metric is counted."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@attrs.frozen
class LabelSpec:
    """A label of a metric.

    Parameters
    ----------
    name : str
        Name of the attribute.
    values : tuple of str
        All values; empty where `source` bounds them.
    source : str
        What bounds the values where they are not listed here.
    """

    name: str
    values: tuple[str, ...] = ()
    source: str = ""


@attrs.frozen
class MetricSpec:
    """A metric.

    Parameters
    ----------
    name : str
        By OpenTelemetry's conventions.
    kind : MetricKind
        Counter, histogram or gauge.
    unit : str
        Unit in UCUM, with annotations in braces.
    description : str
        One sentence for operators.
    labels : tuple of LabelSpec
        Attributes of each measurement.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str
    labels: tuple[LabelSpec, ...] = ()
