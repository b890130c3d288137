#!/bin/sh
# Checks what the cases 6 to 10 start. Their stand-ins are modules that Node runs as they are; the project's programs
# come from the build of the deploy file (target/cicadafield.js). Nothing of the project's own stand-ins is started.
set -eu
cd "$(dirname "$0")/.."
test -f target/cicadafield.js
for each in review/lib-2/*.mjs review/[0-9]*/case.mjs; do
  [ ! -f "$each" ] || node --check "$each"
done
