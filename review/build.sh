#!/bin/sh
# Builds the stand-ins and checks of the scripts into target/, which git ignores.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/reviewscript ./review/_script
go build -ldflags=-linkmode=external -o target/reviewcase ./review/_case
