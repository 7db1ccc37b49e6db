#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/violettally ] && [ -x target/review-standin ] || { echo "build the project and run review/build.sh first" >&2; exit 2; }
exec target/review-standin orders "$here"
