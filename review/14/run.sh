#!/usr/bin/env bash
# Runs the play of this folder; TROUBLE=0 leaves the disruption out. Exits with 0, 1 or 2.
set -u
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 play.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
