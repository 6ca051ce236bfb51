"""Runs cells of the matrix and prints it: ``python -m tests.matrix.run [--seed N] [--full]``."""

import collections
import dataclasses
import itertools
import sys
import traceback

import docopt
import trio
import trio.testing
from tests.matrix import faults, scenarios, world

USAGE = """Run the fault matrix.

Usage:
  run [--seed N] [--full] [--row NAME] [--column NAME]

Options:
  --seed N       Seed of the run [default: 1].
  --full         Each fault also twice, and each pair of faults.
  --row NAME     Only this fault.
  --column NAME  Only this step.
"""
CELL_TIMEOUT_S = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One fault, or two, at one step; ``times`` is how often the first happens."""

    row: str
    column: str
    times: int = 1
    second: str = ""

    @property
    def name(self) -> str:
        """Name the row that this cell stands in."""
        twice = " twice" if self.times == 2 else ""
        return f"{self.row}{twice}" + (f" + {self.second}" if self.second else "")


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """``proved``, ``failed`` or ``not run`` (the step was not reached), and why."""

    mark: str
    why: str = ""


def run(cell: Cell, seed: int = 1, change=lambda made: None) -> Verdict:
    """Run one cell from its start; ``change`` may put a broken service into the fleet."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        reached = trio.run(_run, cell, seed, change, clock=clock)
    except BaseException as exc:
        leaves = list(_leaves(exc))
        if any(isinstance(leaf, KeyboardInterrupt) for leaf in leaves):
            raise
        why = leaves[0]
        where = traceback.extract_tb(why.__traceback__)[-1]
        return Verdict("failed", f"{why!r} at {where.name}:{where.lineno}")
    return Verdict("proved") if reached else Verdict("not run")


def _leaves(exc: BaseException):
    inner = exc.exceptions if isinstance(exc, BaseExceptionGroup) else ()
    if not inner:
        yield exc
    for one in inner:
        yield from _leaves(one)


async def _run(cell: Cell, seed: int, change) -> bool:
    scenario, step = scenarios.STEPS[cell.column]
    traps = [world.Trap(step, faults.ROWS[cell.row], cell.times)]
    if cell.second:
        traps.append(world.Trap(step, faults.ROWS[cell.second]))
    with trio.fail_after(CELL_TIMEOUT_S):
        async with world.running(seed, tuple(traps), change) as made:
            made.expects = frozenset({cell.row, cell.second})
            await scenario(made)
            return step in made.hits


def cells(full: bool) -> list[Cell]:
    """List the cells: each fault once; with ``full`` also twice, and in pairs."""
    rows, columns = list(faults.ROWS), list(scenarios.STEPS)
    found = [Cell(row, column) for row in rows for column in columns]
    if full:
        faulty = rows[1:]
        found += [Cell(row, column, times=2) for row in faulty for column in columns]
        pairs = itertools.combinations(faulty, 2)
        found += [Cell(a, column, second=b) for a, b in pairs for column in columns]
    return found


_MARKS = {"proved": ".", "failed": "F", "not run": "-"}


def show(verdicts: dict[Cell, Verdict]) -> str:
    """Draw the matrix and list what failed."""
    names = list(dict.fromkeys(cell.name for cell in verdicts))
    columns = list(dict.fromkeys(cell.column for cell in verdicts))
    by_place = {(cell.name, cell.column): verdict for cell, verdict in verdicts.items()}
    lines = [f"{index:>2} {column}" for index, column in enumerate(columns)]
    lines += ["", " " * 46 + " ".join(f"{i:>2}" for i in range(len(columns)))]
    for name in names:
        marks = [_MARKS[by_place[name, c].mark] if (name, c) in by_place else " " for c in columns]
        lines.append(f"{name:<46}" + " ".join(f"{mark:>2}" for mark in marks))
    counts = collections.Counter(verdict.mark for verdict in verdicts.values())
    lines += ["", ", ".join(f"{mark}: {counts[mark]}" for mark in _MARKS)]
    for cell, verdict in verdicts.items():
        if verdict.mark == "failed":
            lines.append(f"failed: {cell.name} at {cell.column}: {verdict.why}")
    return "\n".join(lines)


def main() -> None:
    """Run the chosen cells and print the matrix; exit 1 if any failed."""
    args = docopt.docopt(USAGE)
    chosen = [
        cell
        for cell in cells(args["--full"])
        if args["--row"] in (None, cell.row) and args["--column"] in (None, cell.column)
    ]
    verdicts = {cell: run(cell, int(args["--seed"])) for cell in chosen}
    print(f"seed {args['--seed']}, {len(chosen)} cells")
    print(show(verdicts))
    sys.exit(any(verdict.mark == "failed" for verdict in verdicts.values()))


if __name__ == "__main__":
    main()
