#!/bin/sh
# Builds the stand-ins and the runner of the cases into target/. It needs no network.
set -e
cd "$(dirname "$0")/kit"
GOWORK=off go build -o ../../target/review-kit .
