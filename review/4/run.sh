#!/usr/bin/env bash
# Exits with 1 if a consumer got bytes that are no answer, with 0 if none did, with 2 if the case could not
# run; writes record.txt. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/platform/gateway.jar ] && [ -d target/review ] || exit 2
exec java -Xmx256m -cp target/review review.SpoiledStatus review/4
