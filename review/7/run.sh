#!/usr/bin/env bash
# Exit code 0: the rule held, 1: it was broken, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -s target/platform/gateway.jar ] && [ -d target/review-2 ] || { echo "build first: bin/build-system, review/build-2.sh"; exit 2; }
record=review/7/record.txt
timeout 110 java -Xmx512m -cp target/review-2 DrainAfterOutage "$record" &
child=$!
# The program ends the gateways when it ends.
trap 'kill "$child"' TERM INT
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
