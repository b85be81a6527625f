#!/bin/bash
# Builds the programs that play the cases review/11 to review/15, with their stand-ins, into target/:
# review-3 for 11, 12, 14 and review/_more3, and that of the entry in KNOWN-RED.txt for 15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_script3
go build -o target/reviewscript ./review/_script
