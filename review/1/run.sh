#!/bin/sh
# Writes what was sent, answered and run to review/1/record.txt.
cd "$(dirname "$0")/../.." && PYTHONPATH=target/deps:review/common exec python3 review/1/case.py
