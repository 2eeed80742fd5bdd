"""Prints the tables of the design note on retries: ``python -m benchmarks.retries``."""

from benchmarks.retries._measure import attempts_at_deepest, gain_under_partial_failure

POLICIES = ("per_hop", "lend_all", "keep_one")


def main() -> None:
    """Print attempts by depth, and the gain of retries under partial failure."""
    print("attempts at the deepest service, every server failing, R = 1")
    for depth in (1, 2, 3, 4, 6, 8):
        row = [attempts_at_deepest(policy, depth, 1) for policy in POLICIES]
        print(depth, dict(zip(POLICIES, row, strict=True)))
    for credits in (1, 2, 5):
        row = [attempts_at_deepest(policy, 21, credits) for policy in POLICIES[1:]]
        print(21, f"R = {credits}", dict(zip(POLICIES[1:], row, strict=True)))
    for drops, level in ((0.0, 0), (300.0, 0), (300.0, 1), (300.0, 3)):
        print(f"5 services, one of 3 deepest broken, {drops} drops/s at level {level}")
        for policy, credits in (("keep_one", 0), *((p, 2) for p in POLICIES)):
            gain = gain_under_partial_failure(
                policy, credits, drops_per_s=drops, dropped_level=level
            )
            print(policy, f"R = {credits}", gain)


if __name__ == "__main__":
    main()
