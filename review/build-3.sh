#!/usr/bin/env bash
# Builds the stand-ins of the third review. The daemon is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/scene ./review/stand-ins-3
