#!/bin/sh
# Builds the stand-ins of cases 6 to 10: each case has a copy of its own of
# cell.py, in Python, which uses the standard library only. So this checks that
# the copies are the same, and that they and the scripts compile.
cd "$(dirname "$0")" || exit 2
for number in 6 7 8 9 10; do
    cmp 6/cell.py "$number/cell.py" || exit 1
    for file in "$number/cell.py" "$number/case.py"; do
        python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
    done
done
