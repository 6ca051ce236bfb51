"""Trials of the order of streams and items; run ``python -m bench.streams``.

Usage:
  streams [--seeds=S] [--seconds=T] [--list=N | --kinds=K] [--shares=F] [--programs=DIR]
          [--from=DIR] [--keep=DIR]

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
"""

import pathlib
import sys
import tempfile

import docopt
import trio

from bench.soak import __main__ as soak_main
from bench.soak import world
from bench.streams import faults, trial


def main() -> None:
    """Run seeds one after the other; ends with 1 if any has a problem."""
    args = docopt.docopt(__doc__)
    folder = pathlib.Path(args["--keep"] or tempfile.mkdtemp())
    options = trial.Options(
        seconds=float(args["--seconds"]),
        programs=pathlib.Path(args["--programs"] or world.ROOT),
        first=pathlib.Path(args["--from"]) if args["--from"] else None,
        kinds=tuple(args["--kinds"].split(",")) if args["--kinds"] is not None else None,
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


def _parse_shares(text: str | None) -> dict[str, float] | None:
    if text is None:
        return None
    pairs = (pair.partition("=") for pair in text.split(",") if pair)
    return {name: float(share) for name, _, share in pairs}


if __name__ == "__main__":
    main()
