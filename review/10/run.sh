#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x bin/mothrouter ] || ! [ -x bin/second ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec bin/second flightleave review/10
