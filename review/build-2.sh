#!/bin/sh
# The stand-ins of the second review need the standard library only: they
# are checked here, nothing is built.
set -e
cd "$(dirname "$0")"
python3 -c "import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding='utf-8').read(), name)
" rig2.py */case.py
