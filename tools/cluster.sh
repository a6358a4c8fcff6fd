# Functions that run a small deployment on loopback; sourced by other scripts.
# Every process is ended by its id.

BIN=${BIN:-build}
RUN=${RUN:-demo-run}
BASE=${BASE:-17000}
KEEP_MS=${KEEP_MS:-1000}
export GERANIUMPOND_TOKEN=operator
declare -A PIDS
NEXT_TARGET=0
CONTROLS=(abdali-1 marka-1 tla-1)
ENTRIES=(abdali-2 sweifieh-1 marka-2 tla-2)

port_of() { # NAME KIND
  local i=0 name
  for name in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
    [ "$name" = "$1" ] && break
    i=$((i + 1))
  done
  case $2 in
    callers) echo $((BASE + 10 * i)) ;;
    admin) echo $((BASE + 10 * i + 1)) ;;
    hosts) echo $((BASE + 10 * i + 2)) ;;
  esac
}

admin_of() { echo "127.0.0.1:$(port_of "$1" admin)"; }
callers_of() { echo "127.0.0.1:$(port_of "$1" callers)"; }

voters() {
  local list="" name
  for name in "${CONTROLS[@]}"; do
    list="$list${list:+, }$name@127.0.0.1:$(port_of "$name" hosts)"
  done
  echo "$list"
}

write_settings() { # NAME ROLES
  mkdir -p "$RUN/$1"
  cat >"$RUN/$1.ini" <<INI
[host]
id = $1
data_centre = ${1%-*}
roles = $2
data_folder = $RUN/$1

[listen]
callers = $(callers_of "$1")
admin = $(admin_of "$1")
hosts = 127.0.0.1:$(port_of "$1" hosts)
answer_keep_ms = $KEEP_MS

[control]
voters = $(voters)
operator_token_sha256 = $(printf operator | sha256sum | cut -d' ' -f1)
INI
}

start_host() { # NAME [ARGS...]
  local name=$1
  shift
  "$BIN/geraniumpond" serve --settings "$RUN/$name.ini" "$@" \
    >>"$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_target() { # SERVICE NUMBER DATA_CENTRE [ARGS...]
  local name=$1-$2 service=$1 dc=$3
  local port=$((BASE + 500 + NEXT_TARGET))
  NEXT_TARGET=$((NEXT_TARGET + 1))
  shift 3
  "$BIN/tests/fake_target" --listen "127.0.0.1:$port" --service "$service" \
    --id "$name" --token "$service-target" --data-centre "$dc" \
    --announce "$(entry_admins)" "$@" >>"$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
  TARGETS="${TARGETS:+$TARGETS,}127.0.0.1:$port"
  declare -g "PORT_${name//-/_}=$port"
}

entry_admins() {
  local list="" name
  for name in "${ENTRIES[@]}"; do list="$list${list:+,}$(admin_of "$name")"; done
  echo "$list"
}

entry_callers() {
  local list="" name
  for name in "${ENTRIES[@]}"; do list="$list${list:+,}$(callers_of "$name")"; done
  echo "$list"
}

wait_for() { # WHAT SECONDS COMMAND...
  local what=$1 limit=$((SECONDS + $2))
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $limit ]; then
      echo "waited in vain for $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

show() { "$BIN/geraniumpond" show "$2" --host "$(admin_of "$1")" --json; }
is_ready() { show "$1" health | grep -q '"ready":true'; }
has_leader() { show "${CONTROLS[0]}" health | grep -q '"leader":"[a-z]'; }
sees_targets() { # ENTRY COUNT
  [ "$(show "$1" targets | grep -o '"address"' | wc -l)" -ge "$2" ]
}

start_group() {
  local name
  rm -rf "$RUN"
  mkdir -p "$RUN"
  for name in "${CONTROLS[@]}"; do
    write_settings "$name" control
    "$BIN/geraniumpond" init --settings "$RUN/$name.ini" >/dev/null
    start_host "$name"
  done
  for name in "${ENTRIES[@]}"; do
    write_settings "$name" entry
    start_host "$name" ${RECORD:+--record "$RUN/$name.events"}
  done
  wait_for "a leader" 10 has_leader
}

end_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
