"""What a start of the daemons on the platform imports."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

import cornelgrade

SOURCE = str(pathlib.Path(cornelgrade.__file__).parents[1])
# Libraries that only the product's own interface, the tools or the stand-ins use.
UNUSED = {"httpx", "hypercorn", "opentelemetry", "quart", "quart_trio", "sqlite3", "hypothesis"}
# The start may spend 16 ms of processor time on data classes, each of which costs 0.8 ms.
MAX_DATA_CLASSES = 20

LIST_MODULES = """
import json, sys
from cornelgrade.platform import daemon
print(json.dumps(sorted(sys.modules)))
"""
LIST_DATA_CLASSES = """
import json, sys
from cornelgrade.platform import daemon
own = [module for name, module in sys.modules.items() if name.startswith("cornelgrade")]
classes = {value for module in own for value in vars(module).values() if isinstance(value, type)}
print(json.dumps(sorted(str(c) for c in classes if "__dataclass_fields__" in vars(c))))
"""
LIST_BEFORE_MAIN = """
import json, sys
from cornelgrade.platform import __main__
print(json.dumps(sorted(sys.modules)))
"""
COLLECTOR_IN_DAEMON = """
import gc, json
from cornelgrade.platform import __main__, daemon
daemon.main = lambda: print(json.dumps([gc.isenabled(), gc.get_freeze_count() > 0]))
__main__.main()
"""


@pytest.fixture(scope="module")
def evaluate():
    def run(code):
        env = {**os.environ, "PYTHONPATH": SOURCE}
        done = subprocess.run(
            [sys.executable, "-c", code], env=env, capture_output=True, check=True
        )
        return json.loads(done.stdout)

    return run


def test_start_imports_no_library_of_other_programs(evaluate):
    """Guards against a library that costs each start processor time and that no daemon uses."""
    imported = {name.partition(".")[0] for name in evaluate(LIST_MODULES)}
    assert not imported & UNUSED


def test_start_imports_few_data_classes(evaluate):
    """Guards against starts that are slow because each data class compiles its methods."""
    classes = evaluate(LIST_DATA_CLASSES)
    assert len(classes) <= MAX_DATA_CLASSES, classes


def test_entry_module_leaves_imports_to_main(evaluate):
    """Guards against imports before the garbage collector is off."""
    imported = evaluate(LIST_BEFORE_MAIN)
    assert not {"trio", "msgspec", "cornelgrade.errors"} & set(imported)


def test_collector_runs_in_daemon_without_imported_objects(evaluate):
    """Guards against a daemon that runs with the garbage collector off."""
    assert evaluate(COLLECTOR_IN_DAEMON) == [True, True]
