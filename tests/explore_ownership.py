"""Explores the ownership rules for longer than the suite does: ``make explore``."""

import argparse
import sys

from . import fleet_world, ownership_world

__all__ = ["FLEET_RUNS", "RUNS", "explore"]

RUNS = (ownership_world.run_seed, ownership_world.run_story)
FLEET_RUNS = (fleet_world.run_seed,)


def run_late_lists(seed):
    """Play a schedule in a fleet whose entries may be of an earlier life."""
    return fleet_world.run_seed(seed, lists_late=True)


def run_on_arrival(seed):
    """Play a schedule with servers that compare a late grant's token on arrival."""
    return fleet_world.run_seed(seed, compares_on_arrival=True)


def explore(first, count, note=lambda line: None, runs=RUNS):
    """Run many schedules.

    Parameters
    ----------
    first, count : int
        Seeds.
    note : callable
        ``note(line)`` is told each broken promise.
    runs : sequence of callable
        ``run(seed)`` returns the world that it played in.

    Returns
    -------
    n_broken, n_moves : int
        Schedules that broke a promise; changes of owner in all of them.
    """
    n_broken = n_moves = 0
    for seed in range(first, first + count):
        for run in runs:
            try:
                n_moves += run(seed).moves
            except ownership_world.BrokenPromiseError as fault:
                n_broken += 1
                note(f"{run.__module__}.{run.__name__}({seed}): {fault}")
    return n_broken, n_moves


def main():
    """Run the exploration; 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--late-lists", action="store_true")
    parser.add_argument("--on-arrival", action="store_true")
    options = parser.parse_args()
    chosen = {run_late_lists: options.late_lists, run_on_arrival: options.on_arrival}
    runs = tuple(run for run, is_chosen in chosen.items() if is_chosen)
    runs = runs or RUNS + FLEET_RUNS
    n_broken, n_moves = explore(options.first, options.count, print, runs)
    print(f"{len(runs) * options.count} schedules, {n_moves} moves, {n_broken} broken")
    return 1 if n_broken else 0


if __name__ == "__main__":
    sys.exit(main())
