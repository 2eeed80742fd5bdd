"""Prints the tables of the design note on routing."""

from benchmarks.routing._measure import SERVICE_S, share_of_newcomer, spread

POLICIES = (
    ("least_latency", "none"),
    ("random", "none"),
    ("random", "outlier"),
    ("two_choices", "none"),
    ("two_choices", "outlier"),
)


def main() -> None:
    """Print where calls go with one odd server of three, and with a newcomer."""
    cases = {
        "breaks connections at once": (0.0005, 0),
        "answers 500 at once": (0.0005, 500),
        "ten times slower": (10 * SERVICE_S, 200),
    }
    for name, (service_s, status) in cases.items():
        for balancer, ejector in POLICIES:
            print(name, balancer, ejector, spread(balancer, ejector, service_s, status))
    for balancer in ("random", "two_choices"):
        print("newcomer's share in 1 s", balancer, share_of_newcomer(balancer, 1.0))


if __name__ == "__main__":
    main()
