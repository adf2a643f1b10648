#!/bin/sh
# Builds what the scripts start beside the programs of the deploy file. The stand-ins are Python files, so that this only
# checks that they compile. It writes nothing.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
