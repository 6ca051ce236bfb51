#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: their stand-ins are Python files of
# review/common-2 and of target/deps, so that compiling them is all there is to build.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cornelgrade || { echo "run the build of deploy/system.toml first"; exit 1; }
PYTHONPATH=target/deps python3 -c 'import cornelgrade.platform.standins.store_server, trio, h11'
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parent.name in ("common-2", "6", "7", "8", "9", "10"):
        compile(path.read_text(), str(path), "exec")
PY
echo "the stand-ins of the cases 6 to 10 are ready"
