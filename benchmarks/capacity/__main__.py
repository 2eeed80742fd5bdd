"""Commands behind docs/CAPACITY.md: ``python -m benchmarks.capacity COMMAND``."""

import fire

from benchmarks.capacity._daemons import daemons
from benchmarks.capacity._scenarios import (
    change,
    data_centre,
    partition,
    rest,
    restart,
    start,
)

if __name__ == "__main__":
    fire.Fire(
        {
            "daemons": daemons,
            "rest": rest,
            "start": start,
            "change": change,
            "data_centre": data_centre,
            "partition": partition,
            "restart": restart,
        }
    )
