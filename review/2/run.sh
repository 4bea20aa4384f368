#!/bin/sh
# Plays case 2 with the run command of the deploy file. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
test -x review/bin/lab || { echo "review/build.sh has not been run" >&2; exit 2; }
exec review/bin/lab flood "$run" review/2/record.txt
