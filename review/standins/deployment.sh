# Functions of the run.sh scripts: a small deployment of the project's program
# on loopback addresses. Each node has a disk, a zone and an address of its own,
# and all use the same ports, as on the users' machines.
#
# To be sourced in the folder of a case. Exits with 2 where it cannot run.

root=$(cd ../.. && pwd)
program=$root/target/geraniumpond
tools=$root/review/build
work=$(mktemp -d)
export RECORD=$PWD/record.txt
: > "$RECORD"
declare -A pids
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
base=$((RANDOM % 10000 + 20000))

note() { echo "          script: $1" >> "$RECORD"; }
cannot_run() { note "cannot run: $1"; exit 2; }

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

[ -x "$program" ] || cannot_run "build target/geraniumpond first"

# write_settings NODE FOUNDING COUNT: what the template platform/host.ini yields
# for a site like haddad-permits. ZONE_OF, LINK_OF and DISKLESS change that for
# single nodes.
declare -A ZONE_OF LINK_OF DISKLESS
write_settings() {
  local ip=$net.$1 zones= regions= i
  for ((i = 1; i <= $3; i++)); do
    zones+=${zones:+,}z$i
    regions+=${regions:+,}z$i=amman
  done
  mkdir -p "$work/$1/disk"
  cat > "$work/$1/boot.ini" <<INI
[host]
id = edge-z$1-1
data_centre = ${ZONE_OF[$1]:-z$1}
data_folder = $([ -n "${DISKLESS[$1]}" ] || echo "$work/$1/disk")

[listen]
callers = $ip:$base
calls = $ip:$((base + 1)),$ip:$((base + 2)),$ip:$((base + 3))
hosts = $ip:$((base + 4))
metrics = $ip:$((base + 6))
link_mbps = ${LINK_OF[$1]:-1000}

[fleet]
seeds = $net.1:$((base + 2)),$net.2:$((base + 2)),$net.3:$((base + 2))
founding = $2
data_centres = $zones
regions = $regions
tolerated_losses = 1

[bounds]
stop_grace = 6s
extra_ratio = 0.2
extra_floor = 62
extra_window = 10s
probes_per_target = 60

[accounts]
strict_revocation = no

[log]
format = text
level = info
INI
}

# start_node NODE: starts the program with the command of the deploy file.
start_node() {
  (cd "$root" &&
    GERANIUMPOND_NODE_FILE=$work/$1/boot.ini \
      exec target/geraniumpond platform) >> "$work/$1/log.txt" 2>&1 &
  pids[$1]=$!
}

start_nodes() {
  nodes=$1
  for ((n = 1; n <= nodes; n++)); do
    write_settings $n yes $nodes
  done
  for ((n = 1; n <= nodes; n++)); do
    start_node $n
  done
  NODES=
  for ((n = 1; n <= nodes; n++)); do
    NODES+="$net.$n:$base:${pids[$n]} "
  done
  export NODES NET=$net
}

# wait_until_started NODE: until the program has read its settings.
wait_until_started() {
  local i
  for ((i = 0; i < 100; i++)); do
    grep -q event=started "$work/$1/log.txt" 2>/dev/null && return
    sleep 0.1
  done
  cannot_run "node $1 does not start"
}

# finish PID: ends with the result of the driver.
finish() {
  wait "$1"
  local result=$?
  grep -E " (broken|held): " "$RECORD" | tail -n 1
  exit $result
}
