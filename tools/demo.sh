#!/usr/bin/env bash
# Haddad's deployment on loopback: 3 control hosts, 4 entry hosts in 4 data
# centres, 4 + 4 targets. Load runs while a target drains and an entry stops.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/cluster.sh
trap end_all EXIT
SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-12}
RECORD=yes
failed=0
note() { printf '\n== %s\n' "$*"; }
check() { # WHAT COMMAND...
  local what=$1
  shift
  if "$@"; then echo "ok: $what"; else echo "BROKEN: $what"; failed=1; fi
}

note "starting hosts"
start_group
"$BIN/geraniumpond" apply deploy/haddad.ini --expect-version 0 \
  --host "$(admin_of marka-1)" --wait 10
dcs=(abdali sweifieh marka tla)
for i in 0 1 2 3; do
  start_target consent "$i" "${dcs[$i]}" --median-ms 8
  start_target records "$i" "${dcs[$i]}" --median-ms 4
done
for entry in "${ENTRIES[@]}"; do
  wait_for "$entry" 10 is_ready "$entry"
  wait_for "targets at $entry" 10 sees_targets "$entry" 8
done
"$BIN/geraniumpond" show hosts --host "$(admin_of marka-1)"

note "load for $SECONDS_OF_LOAD s; a target drains, an entry stops"
"$BIN/tests/fake_caller" --entries "$(entry_callers)" --token abdali-school \
  --connections 24 --rate 300 --seconds "$SECONDS_OF_LOAD" \
  --mix sign,roster,roster,roster,archive --signed "$RUN/signed" \
  >"$RUN/caller.json" &
caller=$!
sleep 3
"$BIN/geraniumpond" drain target consent consent-1 \
  --host "$(admin_of abdali-2)"
sleep 2
kill -TERM "${PIDS[sweifieh-1]}"
wait "$caller"
cat "$RUN/caller.json"

note "promises"
count() { grep -o "\"$1\":[0-9]*" "$RUN/caller.json" | cut -d: -f2 || true; }
check "calls were served" [ "$(count served)" -gt 100 ]
check "no call was lost" [ -z "$(count lost)" ]
check "no short answer looked complete" [ -z "$(count short_but_complete)" ]
check "no answer broke" [ -z "$(count broken_visibly)" ]
check "no connection was cut" [ -z "$(count resent_after_break)" ]
check "every signed permission ran once" "$BIN/tests/fake_audit" \
  --targets "$TARGETS" --signed "$RUN/signed"
wait_for "the stopped entry" 20 sh -c "! kill -0 ${PIDS[sweifieh-1]}"
check "the entry stopped by itself" grep -q "nothing in flight" \
  "$RUN/sweifieh-1.log"
check "its events replay to the same effects" "$BIN/geraniumpond" replay \
  "$RUN/sweifieh-1.events"

note "latency added, in this run"
"$BIN/tests/fake_caller" --direct "127.0.0.1:$PORT_records_0" --seconds 3 \
  --connections 4 --mix roster --rate 200 >"$RUN/direct.json"
"$BIN/tests/fake_caller" --entries "$(entry_callers)" --token abdali-school \
  --seconds 3 --connections 4 --mix roster --rate 200 >"$RUN/through.json"
echo "direct:  $(cat "$RUN/direct.json")"
echo "through: $(cat "$RUN/through.json")"

note "service-level burn"
hosts=""
for entry in abdali-2 marka-2 tla-2; do hosts="$hosts${hosts:+,}$(admin_of "$entry")"; done
"$BIN/geraniumpond" report burn --host "$hosts" --html "$RUN/burn.html"
"$BIN/geraniumpond" report burn --host "$hosts"
[ $failed = 0 ] && echo "all promises held" || echo "a promise broke"
exit $failed
