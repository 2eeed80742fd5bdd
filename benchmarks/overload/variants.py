"""Combinations of policies that the overload benchmarks compare."""

import attrs

from knapweedlead.settings import AdmissionSettings


@attrs.frozen
class Variant:
    """Admission policies, and whether cancelled work is stopped.

    Parameters
    ----------
    admission : AdmissionSettings
        Names of the guard's policies.
    stops_on_cancel : bool
        Whether backend servers stop work on cancelled calls. False models a
        deployment that propagates neither deadlines nor cancellation.
    """

    admission: AdmissionSettings
    stops_on_cancel: bool = True


VARIANT_BY_NAME = {
    "uncontrolled": Variant(AdmissionSettings("none", "fifo", "none"), False),
    "static": Variant(AdmissionSettings("static", "fifo", "none")),
    "static, fair": Variant(AdmissionSettings("static", "priority_fair", "none")),
    "adaptive, step": Variant(AdmissionSettings("adaptive", "priority_fair", "step")),
    "adaptive, ramp": Variant(AdmissionSettings("adaptive", "priority_fair", "ramp")),
}
"""Ordered from no overload control, through earlier versions, to the current one."""

CURRENT = "adaptive, ramp"
