#!/bin/sh
# Builds the stand-ins of the script cases into review/bin. The project's own process is built
# by the command of the deploy file, into target/.
set -e
cd "$(dirname "$0")/drive"
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -o ../bin/drive .
