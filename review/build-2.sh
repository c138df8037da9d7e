#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python modules that use the libraries which the
# build of the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c "import aiohttp" || exit 2
for folder in review/harness2 review/6 review/7 review/8 review/9 review/10; do
    [ -d "$folder" ] || continue
    for module in "$folder"/*.py; do
        [ -f "$module" ] || continue
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$module" || exit 2
    done
done
