#!/usr/bin/env bash
# Builds the stand-ins of the second review under target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp 'target/platform/lib/*' \
    platform/src/test/java/io/coppershelf/adapter/StoreStandIn.java review/standins-2/*.java
