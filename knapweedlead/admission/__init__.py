"""Admission control of a backend server: concurrency limit, queue, cold start."""

from knapweedlead.admission._adaptive import AdaptiveLimiter
from knapweedlead.admission._calls import IMPORTANT_PRIORITY, QueuedCall, Sample
from knapweedlead.admission._cold_starts import COLD_STARTS, ColdStart, NoColdStart
from knapweedlead.admission._control import AdmissionControl, CallMeasurement
from knapweedlead.admission._limiters import (
    LIMITERS,
    Limiter,
    NoLimiter,
    StaticLimiter,
)
from knapweedlead.admission._priority_fair import PriorityFairQueue
from knapweedlead.admission._queues import QUEUES, FifoQueue, Queue
from knapweedlead.admission._ramp import RampColdStart, StepColdStart
from knapweedlead.admission._refusals import NO_PRIORITY_REFUSED, RefusedPriorities
from knapweedlead.admission._route_times import RouteTimes

__all__ = [
    "AdaptiveLimiter",
    "AdmissionControl",
    "COLD_STARTS",
    "ColdStart",
    "FifoQueue",
    "IMPORTANT_PRIORITY",
    "LIMITERS",
    "Limiter",
    "CallMeasurement",
    "NO_PRIORITY_REFUSED",
    "NoColdStart",
    "NoLimiter",
    "PriorityFairQueue",
    "QUEUES",
    "QueuedCall",
    "Queue",
    "RampColdStart",
    "RefusedPriorities",
    "RouteTimes",
    "Sample",
    "StaticLimiter",
    "StepColdStart",
]
