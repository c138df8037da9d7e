#!/bin/sh
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/standins/src/carawayshore_standins review/harness3 target/review-3/
python3 -m compileall -q target/review-3
