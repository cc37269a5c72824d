#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/scene wiped-together review/14/record.txt
