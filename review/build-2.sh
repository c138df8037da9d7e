#!/bin/sh
# Builds what the cases 6 to 10 start. If the build of the deploy file has not been made, it is made
# first. The stand-ins are plain Python modules; they use the libraries of target/deps.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps/carawayd ] || [ ! -d target/deps/aiohttp ]; then
    build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
    sh -c "$build" || exit 2
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/harness2 python3 -c "
import aiohttp, carawayd.__main__, small_platform" || exit 2
for module in review/6/play.py review/7/play.py review/8/play.py review/9/play.py review/10/play.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$module" || exit 2
done
echo "the cases 6 to 10 are ready"
