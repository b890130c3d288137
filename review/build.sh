#!/bin/sh
# Builds the stand-ins and the scripts into build/review/.
cd "$(dirname "$0")/.." || exit 2
exec npx tsc
