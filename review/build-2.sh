#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror \
	-o build-review-2/stand review/common-2/stand.c \
	$(pkg-config --cflags --libs libevent_core)
