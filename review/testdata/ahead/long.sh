#!/bin/sh
# Plays the fault of the report that is no case: long answers that SIGKILL cuts off in a planned restart. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the play could not run, and leaves its record in bin/long-answers.txt. TROUBLE=0 leaves
# out SIGTERM. Needs the build of the deploy file and review/build-2.sh.
root=$(cd "$(dirname "$0")/../../.." && pwd) || exit 2
test -x "$root/bin/thymebend" && test -x "$root/bin/review-ahead" || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trap 'test -z "$play" || kill "$play"; wait; exit 2' TERM INT HUP
trouble=true
test "${TROUBLE:-1}" = 0 && trouble=false
timeout -k 5 110 "$root/bin/review-ahead" -root "$root" -dir "$dir" -record "$root/bin/long-answers.txt" -trouble=$trouble long &
play=$!
wait "$play"
result=$?
test $result -le 1 || result=2
exit $result
