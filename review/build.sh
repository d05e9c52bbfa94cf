#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into target/. The
# library of the unit tests, which the deploy file doesn't list, is not needed.
set -e
cd "$(dirname "$0")/.."
make -s -j8 -f Makefile -f review/review.mk BUILD=target \
	CFLAGS_TEST_PKGS= LIBS_TEST_PKGS= review-cases
