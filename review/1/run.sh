#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# With TROUBLE=0 the header field holds plain text.
cd "$(dirname "$0")" || exit 2
source ../standins/deployment.sh

start_nodes 4
"$tools/driver-1" &
pids[driver]=$!
finish ${pids[driver]}
