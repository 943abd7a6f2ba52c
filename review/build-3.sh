#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/stand-ins-3/source/*.java
