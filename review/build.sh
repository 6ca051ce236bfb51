#!/bin/sh
# The stand-ins are Python: the project's own come with the build of the deploy file (target/deps),
# the review's are in review/. This compiles them all, so that a missing one shows here.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/common python3 -c "
from cornelgrade.platform.standins import store_server, stream_engine
from cornelgrade.standins import fault_proxy, local_ports, platform_store
import rig"
python3 -m compileall -q review
