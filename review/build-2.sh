#!/bin/sh
# Builds the stand-ins and the plays of the second review's cases into target/. It needs no network.
set -e
cd "$(dirname "$0")/kit-2"
GOWORK=off go build -o ../../target/review-kit-2 .
