#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
trouble="${TROUBLE:-1}"
scene=late-resume
. "$here/../run-case.sh"
