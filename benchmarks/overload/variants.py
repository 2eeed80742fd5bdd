"""Policies that are measured side by side."""

import attrs

from knapweedlead.settings import AdmissionSettings


@attrs.frozen
class Variant:
    """Names of policies, and whether the layer stops work that was cancelled.

    Parameters
    ----------
    admission : AdmissionSettings
        Policies of the guard.
    stops_on_cancel : bool
        False where no layer passes on deadlines and cancellation.
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
"""From no control by way of the earlier versions to the present one."""

PRESENT = "adaptive, ramp"
