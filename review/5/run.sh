#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
. "$(dirname "${BASH_SOURCE[0]}")/../common.sh"
play recurring-job "$(dirname "${BASH_SOURCE[0]}")"
