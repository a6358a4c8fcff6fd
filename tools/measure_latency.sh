#!/usr/bin/env bash
# Latency that an entry adds over calling the same target directly, and calls
# a second per core of the entry; every pair in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=measure-run
. tools/cluster.sh
trap 'end_all; rm -rf "$RUN"' EXIT
start_group
"$BIN/geraniumpond" apply deploy/haddad.ini --expect-version 0 \
  --host "$(admin_of marka-1)" >/dev/null
start_target records 0 abdali --median-ms 0 --slots 1000
start_target consent 0 abdali --median-ms 0 --slots 1000
wait_for "the entry" 10 is_ready abdali-2
wait_for "the target" 10 sees_targets abdali-2 2
sleep 3 # the target's slow start

value() { grep -o "\"$2\":[0-9.]*" "$RUN/$1.json" | cut -d: -f2; }
ticks() { awk '{print $14 + $15}' "/proc/${PIDS[abdali-2]}/stat"; }
load() { # NAME CONNECTIONS RATE ARGS...
  local name=$1 connections=$2 rate=$3
  shift 3
  "$BIN/tests/fake_caller" --token abdali-school --connections "$connections" \
    --rate "$rate" --seconds 5 --mix roster "$@" >"$RUN/$name.json"
}

echo "connections rate | direct p50 p99 | through p50 p99 | added p50 p99 ms"
for pair in "1 200" "16 1600" "250 4000"; do
  read -r connections rate <<<"$pair"
  load direct "$connections" "$rate" --direct "127.0.0.1:$PORT_records_0"
  load through "$connections" "$rate" --direct "$(callers_of abdali-2)"
  echo "$connections $rate | $(value direct p50_ms) $(value direct p99_ms) |" \
    "$(value through p50_ms) $(value through p99_ms) |" \
    "$(value direct p50_ms) $(value through p50_ms)" \
    "$(value direct p99_ms) $(value through p99_ms)" |
    awk '{n=NF; printf "%s", $1; for(i=2;i<=n-4;i++) printf " %s", $i; printf " | %.3f %.3f\n", $(n-2)-$(n-3), $n-$(n-1)}'
done
before=$(ticks)
load full 64 0 --direct "$(callers_of abdali-2)"
after=$(ticks)
calls=$(value full calls)
echo "closed loop, 64 connections: $(value full per_second) calls/s," \
  "$(awk -v c="$calls" -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" \
    'BEGIN{printf "%.0f calls/s per core of the entry", c / (t / hz)}')"
load keyed 4 100 --direct "$(callers_of abdali-2)" --mix sign
load plain 4 100 --direct "127.0.0.1:$PORT_consent_0" --mix sign
echo "keyed, 4 connections, 100/s: direct p50 p99 $(value plain p50_ms)" \
  "$(value plain p99_ms), through $(value keyed p50_ms) $(value keyed p99_ms) ms"
idle_before=$(ticks)
sleep 10
idle_after=$(ticks)
echo "entry at rest: $(awk -v t="$((idle_after - idle_before))" \
  -v hz="$(getconf CLK_TCK)" 'BEGIN{printf "%.2f", 100 * t / hz / 10}') % of a core"
for name in abdali-2 marka-1; do
  echo "$name resident: $(awk '/VmRSS/{print $2}' "/proc/${PIDS[$name]}/status") KB"
done
