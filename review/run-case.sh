#!/bin/sh
# Plays one case: run-case.sh FOLDER CLASS. The exit status is that of the case.
set -u
cd "$(dirname "$0")/.."
exec java -Xmx2g -Dfile.encoding=UTF-8 -cp target/review "$2" "review/$1/record.txt"
