#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../case.sh . shortpath
