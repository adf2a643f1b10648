#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the nodes. Their stand-ins are Python programs of
# review/lib2, which need no library: compiling them shows that this Python can run them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib, asyncio; assert sys.version_info >= (3, 11)'
for file in lib2/*.py [4-8]/*.py; do
    [ ! -f "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
