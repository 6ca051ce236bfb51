#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python of the standard library, so this only
# checks that they compile. The programs under test come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
