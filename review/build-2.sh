#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the system itself.
cd "$(dirname "$0")/.." || exit 2
CGO_ENABLED=1 go build -tags review -trimpath -ldflags=-linkmode=external -o target/review-stand2 ./review/stand2
