#!/bin/bash
# Builds the program that plays the cases review/11 to review/15, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_script3
