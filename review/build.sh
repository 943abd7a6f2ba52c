#!/bin/sh
# Compiles the stand-ins and the cases into target/review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/stand-ins/*.java $(ls review/*/Case*.java 2>/dev/null || true)
