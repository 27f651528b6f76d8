"""Runs a range of seeds: python -m tests.soak FIRST COUNT [SLOT [LAYOUT]]."""

import sys

from tests.soak import plan
from tests.soak import run


def main():
    """Runs the seeds one after the other and prints the violations."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    slot = int(sys.argv[3]) if len(sys.argv) > 3 else 0
    layout = plan.LAYOUTS[sys.argv[4] if len(sys.argv) > 4 else "voters"]
    failed = []
    for seed in range(first, first + count):
        promises = run.run(seed, slot, layout)
        print(f"seed {seed}: {dict(promises.counts)}", flush=True)
        if promises.broken:
            failed.append(seed)
            for fault in plan.draw(seed, layout):
                print(f"  {fault}")
            for line in promises.broken:
                print(f"  broken: {line}", flush=True)
    print(f"{count} seeds, {len(failed)} broke a promise: {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
