#!/bin/sh
# Checks the stand-ins of cases 11 to 15. They are plain modules of Node 20 and need no build.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
