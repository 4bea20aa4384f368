#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/thymebend && test -x bin/review2 || exit 2
exec timeout -k 5 110 bin/review2 slow-hosts review/8
