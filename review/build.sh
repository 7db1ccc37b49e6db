#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/. Run it at the root of the
# project, after the build of the deploy file. It needs no network: the stand-ins use nothing but Go's
# standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
