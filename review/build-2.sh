#!/bin/sh
# Builds the stand-ins and clients of the scripts of the second review. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-2/script2 ./review/_script2 && go build -o target/review-2/case ./review/_case
