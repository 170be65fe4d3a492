#!/usr/bin/env bash
# Builds the stand-ins of the scripts under target/review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review \
    platform/src/test/java/io/coppershelf/adapter/StoreStandIn.java review/standins/*.java
