#!/bin/sh
# The stand-ins are Python, without further packages. This checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib
for path in ["standin.py", *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(pathlib.Path(path).read_text(encoding="utf-8"))'
