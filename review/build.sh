#!/usr/bin/env bash
# Compiles the stand-ins and the cases. Needs the build of the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/platform/lib/*" review/standins/*.java
