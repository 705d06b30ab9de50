#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: one Python file, which only has to compile. They need
# the program that the deploy file builds, and Python 3.11 or later.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys, tomllib; compile(open("standin2.py").read(), "standin2.py", "exec")' || exit 2
for case in 4 5 6 7 8; do
  [ -f "$case/case.py" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$case/case.py" || exit 2
done
