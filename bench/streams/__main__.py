"""Trials of the order of streams and items; run ``python -m bench.streams``.

Usage:
  streams [--seeds=S] [--seconds=T] [--list=N | --kinds=K] [--shares=F] [--programs=DIR]
          [--from=DIR] [--keep=DIR] [--interface=I]

Options:
  --seeds=S       Seeds, as 1,2,5 or 1-50 [default: 1].
  --seconds=T     How long faults are injected [default: 10].
  --list=N        Version of the list of kinds of faults that a seed draws from; the latest if not
                  given. A seed keeps its draws when kinds are added to a later version.
  --kinds=K       Kinds of faults instead of those that the seed draws, as "paths ended,store cut".
  --shares=F      Shares of failed responses instead of those drawn, as unframed=1,ends_early=0.15.
  --programs=DIR  Checkout whose gateways and workers run; this one if not given.
  --from=DIR      Checkout of the first start of each gateway and worker; that of --programs if not
                  given. Each restart, and the kind "upgrade", replaces it.
  --keep=DIR      Where the logs of the processes stay; a temporary folder if not given.
  --interface=I   Whose callers come: platform, or own for the product's own interface, which has
                  kinds of faults of its own and no lists, shares or programs [default: platform].
"""

import pathlib
import sys
import tempfile
from collections.abc import Iterable
from typing import NoReturn

import docopt
import trio

from bench.soak import __main__ as soak_main
from bench.soak import world
from bench.streams import faults, own, trial


def main() -> None:
    """Run seeds one after the other; ends with 1 if any has a problem."""
    args = docopt.docopt(__doc__)
    folder = pathlib.Path(args["--keep"] or tempfile.mkdtemp())
    kinds = tuple(args["--kinds"].split(",")) if args["--kinds"] is not None else None
    if args["--interface"] == "own":
        _run_own(soak_main.seeds(args["--seeds"]), folder, float(args["--seconds"]), kinds)
    options = trial.Options(
        seconds=float(args["--seconds"]),
        programs=pathlib.Path(args["--programs"] or world.ROOT),
        first=pathlib.Path(args["--from"]) if args["--from"] else None,
        kinds=kinds,
        listed=int(args["--list"] or faults.LIST_VERSION),
        shares=_parse_shares(args["--shares"]),
    )
    bad = 0
    for seed in soak_main.seeds(args["--seeds"]):
        report = trio.run(trial.run, seed, folder / str(seed), options)
        found = report.found
        bad += bool(found.problems)
        print(f"seed {seed}: {report.streams} streams, {report.items} items", flush=True)
        print(f"  shares {report.shares}\n  faults {report.faults}", flush=True)
        print(f"  undetected {found.undetected}, ended with framing {found.ended_framed}")
        print(f"  {len(found.problems)} problems", *found.problems, sep="\n    ", flush=True)
    sys.exit(bool(bad))


def _run_own(
    seeds: Iterable[int], folder: pathlib.Path, seconds: float, kinds: tuple[str, ...] | None
) -> NoReturn:
    """Run seeds of the product's own interface; ends with 1 if any has a problem."""
    bad = 0
    for seed in seeds:
        report = own.run(seed, folder / str(seed), seconds, kinds)
        bad += bool(report.problems)
        print(f"seed {seed}: {report.whole} of {report.requests} requests whole", flush=True)
        print(f"  {report.items} of {report.accepted_items} items\n  engines {report.engine}")
        print(f"  faults {report.faults}")
        print(f"  {len(report.problems)} problems", *report.problems, sep="\n    ", flush=True)
    sys.exit(bool(bad))


def _parse_shares(text: str | None) -> dict[str, float] | None:
    if text is None:
        return None
    pairs = (pair.partition("=") for pair in text.split(",") if pair)
    return {name: float(share) for name, _, share in pairs}


if __name__ == "__main__":
    main()
