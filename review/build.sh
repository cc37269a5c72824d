#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The daemons are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/scene ./review/scene
