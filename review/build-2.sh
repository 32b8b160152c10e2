#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 to review/8. Run it after the build command of deploy/service.toml:
# the emulated state service, cloud and workers are classes of the project in target/tansystack.jar.
set -euo pipefail
cd "$(dirname "$0")/.."
test -s target/tansystack.jar
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/tansystack.jar review/standins-2/*.java
