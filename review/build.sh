#!/usr/bin/env bash
# Compiles the stand-ins of the review's cases against the jar that the deploy file's build leaves.
set -euo pipefail
cd "$(dirname "$0")/.."
test -s target/tansystack.jar
rm -rf target/review
mkdir -p target/review
javac -Xlint:-options -cp target/tansystack.jar -d target/review $(find review/standins -name '*.java')
