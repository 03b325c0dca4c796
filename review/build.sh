#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Uses the standard library only and needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="${GOFLAGS:-} -buildvcs=false" GOPROXY=off go build -o bin/harness ./harness
