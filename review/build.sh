#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into target/.
set -e
cd "$(dirname "$0")/.."
make -s -j8 -f Makefile -f review/review.mk BUILD=target review-cases
