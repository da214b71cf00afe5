#!/bin/sh
# The stand-ins of the cases 4 to 6 are Python programs of the standard library: nothing is compiled. This only checks
# that they can be run here. The scripts start no stand-in of the project's own.
set -e
cd "$(dirname "$0")"
for file in harness-2/small.py harness-2/doors.py 4/case.py 5/case.py 6/case.py; do
    python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
echo "the stand-ins of cases 4 to 6 can be run"
