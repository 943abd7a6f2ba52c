#!/bin/sh
# Compiles the stand-ins and drivers of the scripts in review/6 to review/10 into target/review-2. They lie one folder
# deeper than those of the earlier review, which review/build.sh collects by name.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stand-ins-2/source/*.java
