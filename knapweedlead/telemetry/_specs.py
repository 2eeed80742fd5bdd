"""Descriptions of metrics: kind, unit and labels."""

import enum

import attrs


class MetricKind(enum.Enum):
    """Type of instrument."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@attrs.frozen
class LabelSpec:
    """Label of a metric.

    Parameters
    ----------
    name : str
        Label name.
    values : tuple of str
        Allowed values; empty if the values are not known in advance.
    source : str
        Set from which the values come if `values` is empty.
    """

    name: str
    values: tuple[str, ...] = ()
    source: str = ""


@attrs.frozen
class MetricSpec:
    """Description of a metric.

    Parameters
    ----------
    name : str
        Name according to the OpenTelemetry conventions.
    kind : MetricKind
        Counter, histogram or gauge.
    unit : str
        UCUM unit, with annotations in braces.
    description : str
        One sentence for operators.
    labels : tuple of LabelSpec
        Labels of each measurement.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str
    labels: tuple[LabelSpec, ...] = ()
