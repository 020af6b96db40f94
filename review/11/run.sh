#!/bin/sh
# A quarter of the engines crash while they answer prompts of several hundred parts.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes record.txt in its folder. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-3/standin-3
[ -x "$standin" ] || { echo "not run: review/build-3.sh was not run"; exit 2; }
[ "$(ulimit -n)" = unlimited ] || [ "$(ulimit -n)" -ge 8192 ] || ulimit -n 8192 || exit 2
PROCESSES=$(mktemp) || exit 2
export PROCESSES
"$standin" crash review/11 &
child=$!
trap 'kill -9 "$child" $(cat "$PROCESSES"); rm -f "$PROCESSES"; exit 2' HUP INT TERM
wait "$child"
status=$?
rm -f "$PROCESSES"
[ "$status" -le 1 ] || exit 2
exit "$status"
