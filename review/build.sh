#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python, so building checks that each of them
# compiles and that the build of the deploy file holds the libraries that they import.
cd "$(dirname "$0")/.." || exit 1
if [ ! -d target/deps/carawayd ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins python3 - <<'END'
import ast
import pathlib

import aiohttp  # noqa: F401
import carawayd.__main__  # noqa: F401
import deployment  # noqa: F401
import store  # noqa: F401
import worker  # noqa: F401

for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
print("stand-ins are ready")
END
