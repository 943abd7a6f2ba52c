#!/bin/sh
# Plays the case of claim.txt: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -f target/entry/mulberrypin.jar ] || [ ! -f target/review-3/CaseGone.class ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
exec java -cp target/review-3 CaseGone "$folder"
