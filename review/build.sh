#!/bin/sh
# The stand-ins are plain Python without dependencies: only checks that they
# compile. The programs themselves are built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins.py ?/play.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
