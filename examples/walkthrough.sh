#!/usr/bin/env bash
# Follows the main path of docs/running.md on loopback with the processes of
# examples/aare and stand-in backend servers, and fails on an unexpected answer.
# Needs the programs in bin (make build), bash and curl. WALKTHROUGH_KEEP=1 keeps
# the folder with settings, data and logs.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$(mktemp -d)
declare -A pids

# Ends every process that this script started, by PID.
finish() {
	status=$?
	trap - EXIT
	for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$status" -ne 0 ] || [ -n "${WALKTHROUGH_KEEP:-}" ]; then
		echo "settings, data and logs: $work"
	else
		rm -rf "$work"
	fi
	exit "$status"
}
trap finish EXIT
trap 'exit 1' INT TERM

say() { printf '%3d s  %s\n' "$SECONDS" "$*"; }
die() { echo "walkthrough: $*" >&2; exit 1; }

# start NAME COMMAND...: runs a process with its output in NAME.log.
start() {
	local name=$1
	shift
	"$@" >>"$name.log" 2>&1 &
	pids[$name]=$!
}
# stop NAME: graceful stop. crash NAME: the process ends at once.
stop() { kill "${pids[$1]}"; wait "${pids[$1]}" || die "$1 ended with code $?, see $1.log"; unset "pids[$1]"; }
crash() { kill -9 "${pids[$1]}"; wait "${pids[$1]}" 2>/dev/null || true; unset "pids[$1]"; }
control() { start "$1" "$bin/balsamtraild" control --settings "$1.json"; }
node() { start "$1" "$bin/balsamtraild" node --settings "$1.json"; }
# backend NAME SERVICE VERSION PORT OUTGOING-PORT
backend() {
	start "$1-backend" "$bin/bench" backend --warm --listen "127.0.0.1:$4" --service "$2" --version "$3" --host "$1" \
		--outgoing "http://127.0.0.1:$5"
}

# eventually SECONDS TEXT COMMAND...: repeats the command until its output has the text.
eventually() {
	local until=$((SECONDS + $1)) text=$2 out=
	shift 2
	while :; do
		out=$("$@" 2>&1) || true
		case $out in *"$text"*) return ;; esac
		[ "$SECONDS" -le "$until" ] || die "no \"$text\" from: $* (last: $out)"
		sleep 0.2
	done
}
# expect TEXT COMMAND...: runs the command once; its output must have the text.
expect() {
	local text=$1 out=
	shift
	out=$("$@" 2>&1) || true
	case $out in *"$text"*) ;; *) die "no \"$text\" from: $* (got: $out)" ;; esac
}
# code WANT COMMAND...: the exit code must be WANT.
code() {
	local want=$1 got=0 out
	shift
	out=$("$@" 2>&1) || got=$?
	[ "$got" -eq "$want" ] || die "exit code $got, want $want, from: $* ($out)"
}
# fetch URL [CURL-OPTION...]: prints status and headers before the body.
fetch() { curl --silent --include --path-as-is --max-time 5 "$@"; }
# api PATH [CURL-OPTION...]: asks the operator interface of c-thun.
api() {
	local path=$1
	shift
	curl --silent --include --cacert certs/ca.pem -H "Authorization: Bearer $BALSAMTRAIL_TOKEN" "$@" "https://127.0.0.1:7101$path"
}
# operation prints a new operation id.
operation() { date +walkthrough-%s-%N; }
# key prints a new idempotency key.
key() { echo "$(date +%s)-$RANDOM$RANDOM$RANDOM"; }
bt() { "$bin/balsamtrail" "$@"; }

[ -x "$bin/balsamtraild" ] || die "bin/balsamtraild is missing, run make build"
cp -r examples/aare/. "$work"
cd "$work"

say "certificates and settings"
bt dev-ca certs --operator 127.0.0.1 \
	--control thun/c-thun --control bern-altstadt/c-bern-altstadt --control burgdorf/c-burgdorf \
	--node thun/ledger-1 --node thun/ledger-2 --node thun/ledger-3 \
	--node bern-altstadt/ledger-4 --node bern-altstadt/ledger-5 --node burgdorf/ledger-6 --node burgdorf/ledger-7 \
	--node thun/roster-1 --node bern-altstadt/roster-2 --node burgdorf/roster-3 >/dev/null
bt check ./*.json notes/*.json >/dev/null
export BALSAMTRAIL_SERVERS=https://127.0.0.1:7101,https://127.0.0.1:7102,https://127.0.0.1:7103
export BALSAMTRAIL_TOKEN=example-token-coordinator BALSAMTRAIL_CA=$work/certs/ca.pem

say "three control hosts, ten backend servers with their nodes"
control c-thun
control c-bern-altstadt
control c-burgdorf
for i in 1 2 3 4 5 6 7; do
	backend "ledger-$i" cabinet-ledger v1 "900$i" "80${i}1"
	node "ledger-$i"
done
backend roster-1 roster-desk v1 9008 8081
backend roster-2 roster-desk v1 9009 8091
backend roster-3 roster-desk v1 9010 8101
node roster-1
node roster-2
node roster-3
eventually 10 leader bt control-host list
eventually 10 '"confirmed":true' api /v1/status
expect "503 Service Unavailable" fetch http://127.0.0.1:8010/cabinets/7
expect "Balsamtrail-Not-Run" fetch http://127.0.0.1:8010/cabinets/7
expect "refused: 503 no configuration in force yet" bt explain --node 127.0.0.1:8014 --path /cabinets/7

say "publish a note with curl, again with the same operation id, and a stale one"
id=$(operation)
expect '"number":1' api /v1/notes -X POST -H "Operation-Id: $id" --data @notes/1-services.json
expect '"number":1' api /v1/notes -X POST -H "Operation-Id: $id" --data @notes/1-services.json
expect '"code":"conflict"' api /v1/notes -X POST -H "Operation-Id: $(operation)" --data @notes/1-services.json
code 3 bt publish notes/1-services.json
eventually 10 "10, 0 behind" bt status
for port in 8010 8040 8070 8080 8100; do
	eventually 10 "204 No Content" fetch "http://127.0.0.1:$((port + 4))/healthz"
	eventually 5 "200 OK" fetch "http://127.0.0.1:$port/cabinets/7"
done

say "lookups, a write with its resend, and requests that must not run"
expect "roster-desk GET /rosters/may" fetch http://127.0.0.1:8040/rosters/may
k=$(key)
restock=(http://127.0.0.1:8010/restocks -H "Idempotency-Key: $k")
expect "200 OK" fetch "${restock[@]}" --data crate
eventually 5 "Balsamtrail-Outcome: answered" fetch "${restock[@]}" --data crate
expect "422 Unprocessable" fetch "${restock[@]}" --data other
expect "400 Bad Request" fetch http://127.0.0.1:8010/restocks --data crate
expect "404 Not Found" fetch http://127.0.0.1:8010/unknown
expect "405 Method Not Allowed" fetch -X PUT http://127.0.0.1:8010/cabinets/7
expect "400 Bad Request" fetch http://127.0.0.1:8010/restocks/../cabinets/7
expect "413 Request Entity Too Large" fetch http://127.0.0.1:8010/restocks -H "Idempotency-Key: $(key)" \
	-H "Content-Length: 99999999" --data crate

say "explain a routed and a refused request"
expect "v1, share 100%, gets 100%" bt explain --node 127.0.0.1:8014 --path /cabinets/7 --timeout 800ms
expect '"routed": true' bt explain --node 127.0.0.1:8014 --path /cabinets/7 --json
expect "refused: 400 path with dot segments" bt explain --node 127.0.0.1:8014 --path /restocks/../cabinets/7
expect "refused: 405" bt explain --node 127.0.0.1:8014 --path /cabinets/7 --method PUT
code 2 bt explain --node 127.0.0.1:8014 --path cabinets
[ -z "${WALKTHROUGH_KEEP:-}" ] || { bt explain --node 127.0.0.1:8014 --path /cabinets/7 --timeout 800ms; bt explain --node 127.0.0.1:8014 --path /restocks/../cabinets/7; } >explain.txt

say "replace three ledgers by version v2 and move all traffic to it"
for i in 3 5 7; do
	stop "ledger-$i"
	crash "ledger-$i-backend"
	sed -i 's/"version": "v1"/"version": "v2"/' "ledger-$i.json"
	backend "ledger-$i" cabinet-ledger v2 "900$i" "80${i}1"
	node "ledger-$i"
done
eventually 10 "10, 0 behind" bt status
sed "s/2027-03-01T18:00:00Z/$(date -u -d '+15 seconds' +%Y-%m-%dT%H:%M:%SZ)/; s/24h/10s/" notes/2-ledger-v2.json >move.json
expect "accepted note 2 revision 1" bt publish move.json
load() { exec curl --silent --no-progress-meter --parallel --parallel-max 2 --output /dev/null "http://127.0.0.1:$1/cabinets/[1-100000]"; }
for port in 8010 8040 8080; do
	load $port &
	pids[load-$port]=$!
done
code 0 bt status cabinet-ledger --watch --wait 40s
for port in 8010 8040 8080; do crash load-$port; done
expect '"state":"done"' api /v1/moves/cabinet-ledger

say "amend, a stale revision, and withdraw"
expect "accepted note 3" bt publish notes/3-roster-timeout.json
sed 's/"300ms"/"350ms"/' notes/3-roster-timeout.json >amended.json
expect "accepted note 3 revision 2" bt amend amended.json --revision 1
code 3 bt amend amended.json --revision 1
expect '"350ms"' api /v1/config
expect "accepted note 3" bt withdraw 3 --revision 2
expect '"400ms"' api /v1/config

say "take a data centre out and return it"
expect accepted bt data-centre out burgdorf
eventually 3 "out of service  [burgdorf]" bt status
sleep 3
before=$(curl --silent http://127.0.0.1:9007/_standin/stats)
for i in 1 2 3 4 5; do expect "200 OK" fetch "http://127.0.0.1:8100/cabinets/$i"; done
[ "$(curl --silent http://127.0.0.1:9007/_standin/stats)" = "$before" ] || die "burgdorf got work while it was out"
code 0 bt data-centre return burgdorf
expect "returning" bt data-centre list

say "crash a node, restart it, and restart a control host"
crash ledger-1
eventually 6 "lapsed" bt nodes --service cabinet-ledger
node ledger-1
eventually 10 '"routable":true' fetch http://127.0.0.1:8014/status
expect "cache file loaded" grep "cache file" ledger-1.log
stop c-burgdorf
control c-burgdorf
eventually 10 "follower" bt control-host list

say "a control host whose disk is lost is replaced under a new identity"
crash c-burgdorf
rm -r data/c-burgdorf
expect "removed control host c-burgdorf" bt control-host remove c-burgdorf
bt dev-ca certs --control burgdorf/c-burgdorf-2 >/dev/null
sed -e 's/c-burgdorf/c-burgdorf-2/g' -e '/"host": "c-burgdorf-2"/,/}/ s/"voter": true/"voter": false/' c-burgdorf.json >c-burgdorf-2.json
control c-burgdorf-2
eventually 10 "added control host c-burgdorf-2" bt control-host add c-burgdorf-2 --data-centre burgdorf --peer 127.0.0.1:7003
eventually 10 "c-burgdorf-2     burgdorf       127.0.0.1:7003  follower" bt control-host list
expect accepted bt publish <(sed 's/"number": 3/"number": 4/' notes/3-roster-timeout.json)

say "bad input names the field or the file and changes nothing"
expect '"field":"services.added[0].slot"' api /v1/notes -X POST -H "Operation-Id: $(operation)" \
	--data '{"number":5,"services":{"added":[{"name":"x","slot":1}]}}'
expect '"code":"too-large"' api /v1/notes -X POST -H "Operation-Id: $(operation)" --data @<(head -c 2000000 /dev/zero | tr '\0' ' ')
expect '"code":"unauthorized"' curl --silent --cacert certs/ca.pem -H "Authorization: Bearer wrong" https://127.0.0.1:7101/v1/status
expect '"code":"precondition-required"' api /v1/notes/4 -X DELETE -H "Operation-Id: $(operation)"
expect "newest note     4" bt status
sed 's/"claim_groups"/"claim_group"/' c-thun.json >bad.json
code 1 "$bin/balsamtraild" control --settings bad.json
expect "claim_group: " "$bin/balsamtraild" control --settings bad.json
bt dev-ca other-ca --node thun/ledger-1 >/dev/null
stop ledger-1
sed 's/certs\/ledger-1/other-ca\/ledger-1/' ledger-1.json >stranger.json
start stranger "$bin/balsamtraild" node --settings stranger.json
eventually 10 "certificate" grep -m1 -h "unknown certificate\|unknown authority\|bad certificate" stranger.log
crash stranger
head -c 100 data/ledger-1.cache >cut && mv cut data/ledger-1.cache
node ledger-1
eventually 10 '"routable":true' fetch http://127.0.0.1:8014/status
expect "data/ledger-1.cache" grep "cache file ignored" ledger-1.log

say "rotate certificates, read audit, metrics and status"
bt dev-ca certs --operator 127.0.0.1 --node thun/ledger-1 >/dev/null
expect '"action":"data-centre-out"' api /v1/audit
expect '"operator":"coordinator"' api /v1/audit
expect "callmux.connections" fetch http://127.0.0.1:8044/metrics
expect '"invariant.violations":{"count":0}' api /metrics
eventually 5 "0 behind" bt status
expect "violations      0" bt status

say "stop the nodes, then the control hosts"
nodes=() controls=()
for name in "${!pids[@]}"; do
	case $name in
	ledger-? | roster-?) nodes+=("$name") ;;
	c-*) controls+=("$name") ;;
	esac
done
for name in "${nodes[@]}"; do kill "${pids[$name]}"; done
for name in "${nodes[@]}"; do wait "${pids[$name]}" || die "$name ended with code $?"; unset "pids[$name]"; done
for name in "${controls[@]}"; do kill "${pids[$name]}"; done
for name in "${controls[@]}"; do wait "${pids[$name]}" || die "$name ended with code $?"; unset "pids[$name]"; done
say "done"
