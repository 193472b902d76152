#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
player="$root/review/bin/restart"
if [ ! -x "$player" ] || [ ! -x "$root/bin/mothrouter" ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 2 115 "$player" -root "$root" -folder "$folder" -record "$here/record.txt" -trouble=$trouble &
pid=$!
trap 'rm -rf "$folder"' EXIT
trap 'kill "$pid"; wait "$pid"; exit 2' HUP INT TERM
wait "$pid"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
