#!/bin/sh
# Plays the case with the program of the deploy file; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/review/standin ] && [ -x target/release/fireflygauge-platform ] || { echo "not built"; exit 2; }
exec target/review/standin stop target/release/fireflygauge-platform review/5
