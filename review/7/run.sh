#!/usr/bin/env bash
# Two waves over the same machines, and a service of machines that is silent for 1.5 s. See claim.txt.
# TROUBLE=0 leaves the disruption out; play-2.sh reads it from the environment.
exec "$(dirname "$0")/../play-2.sh" "$(dirname "$0")" waves
