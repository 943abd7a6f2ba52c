#!/bin/sh
# Compiles the stand-ins and drivers of the scripts in review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand-ins-2/*.java
