#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 9 start besides the program of the deploy file. Their
# stand-ins are written in Python's standard library, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
for file in *.py; do
    python3 -B -c "compile(open('$file').read(), '$file', 'exec')"
done
