#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves the unreadable configuration out.
cd "$(dirname "$0")" || exit 2
source ../standins/deployment.sh

start_nodes 4
"$tools/driver-2" &
driver=$!
pids[driver]=$driver

# The platform starts a program that has ended again, with the settings of that
# moment: no longer those of the first start.
for ((n = 1; n <= nodes; n++)); do
  wait_until_started $n
  write_settings $n no $nodes
done
while kill -0 $driver 2>/dev/null; do
  for ((n = 1; n <= nodes; n++)); do
    if ! kill -0 "${pids[$n]}" 2>/dev/null; then
      wait "${pids[$n]}"
      note "the program of node $n ended by itself with status $?"
      start_node $n
    fi
  done
  sleep 0.2
done
finish $driver
