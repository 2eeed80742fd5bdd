"""Randomized soak test: real daemon processes under injected external faults.

``python -m knapweedlead.platform.tests.soak --seeds 50`` runs new random seeds and
prints the violations of each; seeds that have failed before are in ``seeds.txt``.
"""

from knapweedlead.platform.tests.soak import faults, pauses

__all__ = ["faults", "pauses"]
