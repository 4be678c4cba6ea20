#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/frozen_voter review/7/record.txt
