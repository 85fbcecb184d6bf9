#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
