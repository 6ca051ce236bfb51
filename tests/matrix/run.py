"""Run the fault matrix and print it: ``python -m tests.matrix.run [--seed N] [--full]``."""

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
    """One or two faults at one step; ``times`` is how often the first is injected."""

    row: str
    column: str
    times: int = 1
    second: str = ""

    @property
    def name(self) -> str:
        """Label of the row that contains this cell."""
        twice = " twice" if self.times == 2 else ""
        return f"{self.row}{twice}" + (f" + {self.second}" if self.second else "")


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """``proved``, ``failed`` or ``not run`` (the step was not reached), with the reason."""

    mark: str
    reason: str = ""


def run(cell: Cell, seed: int = 1, change=lambda running_world: None) -> Verdict:
    """Run one cell in a new fleet; ``change`` may replace a service by a broken one."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        reached = trio.run(_run, cell, seed, change, clock=clock)
    except BaseException as exc:
        leaves = list(_iterate_leaf_errors(exc))
        if any(isinstance(leaf, KeyboardInterrupt) for leaf in leaves):
            raise
        reason = leaves[0]
        where = traceback.extract_tb(reason.__traceback__)[-1]
        return Verdict("failed", f"{reason!r} at {where.name}:{where.lineno}")
    return Verdict("proved") if reached else Verdict("not run")


def _iterate_leaf_errors(exc: BaseException):
    inner = exc.exceptions if isinstance(exc, BaseExceptionGroup) else ()
    if not inner:
        yield exc
    for one in inner:
        yield from _iterate_leaf_errors(one)


async def _run(cell: Cell, seed: int, change) -> bool:
    scenario, step = scenarios.STEPS[cell.column]
    injections = [world.FaultInjection(step, faults.ROWS[cell.row], cell.times)]
    if cell.second:
        injections.append(world.FaultInjection(step, faults.ROWS[cell.second]))
    with trio.fail_after(CELL_TIMEOUT_S):
        async with world.running(seed, tuple(injections), change) as running_world:
            running_world.cell_faults = frozenset({cell.row, cell.second})
            await scenario(running_world)
            return step in running_world.reached_steps


def list_cells(full: bool) -> list[Cell]:
    """Return a cell for each fault at each step; ``full`` adds repeated and paired faults."""
    rows, columns = list(faults.ROWS), list(scenarios.STEPS)
    selected = [Cell(row, column) for row in rows for column in columns]
    if full:
        faulty = rows[1:]
        selected += [Cell(row, column, times=2) for row in faulty for column in columns]
        pairs = itertools.combinations(faulty, 2)
        selected += [Cell(a, column, second=b) for a, b in pairs for column in columns]
    return selected


_MARKS = {"proved": ".", "failed": "F", "not run": "-"}


def format_matrix(verdicts: dict[Cell, Verdict]) -> str:
    """Return the matrix as text, followed by the failed cells."""
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
            lines.append(f"failed: {cell.name} at {cell.column}: {verdict.reason}")
    return "\n".join(lines)


def main() -> None:
    """Run the chosen cells and print the matrix; exit 1 if any failed."""
    args = docopt.docopt(USAGE)
    chosen = [
        cell
        for cell in list_cells(args["--full"])
        if args["--row"] in (None, cell.row) and args["--column"] in (None, cell.column)
    ]
    verdicts = {cell: run(cell, int(args["--seed"])) for cell in chosen}
    print(f"seed {args['--seed']}, {len(chosen)} cells")
    print(format_matrix(verdicts))
    sys.exit(any(verdict.mark == "failed" for verdict in verdicts.values()))


if __name__ == "__main__":
    main()
