#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
source "$(dirname "$0")/../standin/run.sh"
