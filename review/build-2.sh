#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/stand-ins-2 .
