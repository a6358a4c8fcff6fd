#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves the stops out.
cd "$(dirname "$0")" || exit 2
source ../standins/deployment.sh

# Machines 1 to 3 have a disk and 100 Mbit/s, 4 to 6 neither, as in
# haddad-permits-grown.
for n in 1 2 3; do
  LINK_OF[$n]=100
  LINK_OF[$((n + 3))]=4.5
  ZONE_OF[$((n + 3))]=z$n
  DISKLESS[$((n + 3))]=yes
done
start_nodes 6
for ((n = 1; n <= nodes; n++)); do
  wait_until_started $n
  write_settings $n no $nodes
done
"$tools/driver-3" &
driver=$!
pids[driver]=$driver

# The platform starts a program that was stopped again.
while kill -0 $driver 2>/dev/null; do
  for n in 4 5 6; do
    if ! kill -0 "${pids[$n]}" 2>/dev/null; then
      wait "${pids[$n]}"
      note "the program of node $n ended with status $?"
      start_node $n
    fi
  done
  sleep 0.05
done
finish $driver
