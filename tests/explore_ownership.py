"""Explores the ownership rules for longer than the suite does: ``make explore``."""

import argparse
import sys

from . import fleet_simulation, ownership_simulation

__all__ = ["FLEET_RUNS", "RUNS", "explore"]

RUNS = (ownership_simulation.run_seed, ownership_simulation.run_scenario)
FLEET_RUNS = (fleet_simulation.run_seed,)


def run_with_stale_entries(seed):
    """Run a schedule in a fleet whose store may list the previous server process."""
    return fleet_simulation.run_seed(seed, stale_entries=True)


def run_with_check_on_arrival(seed):
    """Run a schedule whose servers compare a delayed grant's token on arrival."""
    return fleet_simulation.run_seed(seed, compares_on_arrival=True)


def explore(first, count, report=lambda line: None, runs=RUNS):
    """Run many schedules.

    Parameters
    ----------
    first, count : int
        Seeds.
    report : callable
        ``report(line)`` is called for each violation.
    runs : sequence of callable
        ``run(seed)`` returns the simulation that it has run.

    Returns
    -------
    n_violations, n_moves : int
        Schedules that violated an invariant; changes of owner in all others.
    """
    n_violations = n_moves = 0
    for seed in range(first, first + count):
        for run in runs:
            try:
                n_moves += run(seed).moves
            except ownership_simulation.InvariantViolationError as violation:
                n_violations += 1
                report(f"{run.__module__}.{run.__name__}({seed}): {violation}")
    return n_violations, n_moves


def main():
    """Run the exploration; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--late-lists", action="store_true")
    parser.add_argument("--on-arrival", action="store_true")
    options = parser.parse_args()
    chosen = {
        run_with_stale_entries: options.late_lists,
        run_with_check_on_arrival: options.on_arrival,
    }
    runs = tuple(run for run, is_chosen in chosen.items() if is_chosen)
    runs = runs or RUNS + FLEET_RUNS
    n_violations, n_moves = explore(options.first, options.count, print, runs)
    print(
        f"{len(runs) * options.count} schedules, {n_moves} moves,"
        f" {n_violations} violations"
    )
    return 1 if n_violations else 0


if __name__ == "__main__":
    sys.exit(main())
