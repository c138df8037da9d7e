#!/bin/sh
# Builds what the scripts of the third review start. If the build of the deploy file has not been
# made, it is made first.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/carawayd ] || [ ! -d target/deps/aiohttp ]; then
    build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
    sh -c "$build"
fi
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/standins/src/carawayshore_standins review/harness3 target/review-3/
python3 -m compileall -q target/review-3
