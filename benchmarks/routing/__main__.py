"""Prints the tables of the design note on routing: ``python -m benchmarks.routing``."""

from benchmarks.routing._measure import SERVICE_S, measure_spread, new_member_share

POLICIES = (
    ("least_latency", "none"),
    ("random", "none"),
    ("random", "outlier"),
    ("two_choices", "none"),
    ("two_choices", "outlier"),
)


def main() -> None:
    """Print how calls spread with one faulty server of three, and with a new server."""
    cases = {
        "breaks connections at once": (0.0005, 0),
        "answers 500 at once": (0.0005, 500),
        "ten times slower": (10 * SERVICE_S, 200),
    }
    for name, (service_s, status) in cases.items():
        for balancer, ejector in POLICIES:
            print(
                name,
                balancer,
                ejector,
                measure_spread(balancer, ejector, service_s, status),
            )
    for balancer in ("random", "two_choices"):
        print("new server's share in 1 s", balancer, new_member_share(balancer, 1.0))


if __name__ == "__main__":
    main()
