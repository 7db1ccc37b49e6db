#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the project's own program: review-2, which holds the
# stand-ins of the store, the runners and the clients, and starts the gateways.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_cases-2
