#!/usr/bin/env bash
# Starts four daemons in two zones, a stand-in of the platform and a database
# group of three upstreams on loopback, in the current directory.
# Usage: start.sh DIRECTORY-OF-THE-BINARIES; the process ids are in ./pids.
set -euo pipefail
bin=$1
openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 30 \
  -keyout peer.key -out peer.pem -subj /CN=chervilhatch -addext subjectAltName=IP:127.0.0.1
cp peer.pem ca.pem
: > pids

# start LOG COMMAND... runs a command in the background.
start() {
  log=$1
  shift
  "$@" > "$log" 2>&1 &
  echo $! >> pids
}

start platform.log "$bin/standind" platform --listen 127.0.0.1:7400 \
  --vm vm-1,zone-a,127.0.0.1:7411 --vm vm-2,zone-b,127.0.0.1:7412 \
  --vm vm-3,zone-a,127.0.0.1:7413 --vm vm-4,zone-b,127.0.0.1:7414
start db-1.log "$bin/standind" upstream --id db-1 --listen 127.0.0.1:7421 --primary --user proxy --password secret
start db-2.log "$bin/standind" upstream --id db-2 --listen 127.0.0.1:7422 --follow 127.0.0.1:7421 --user proxy --password secret
start db-3.log "$bin/standind" upstream --id db-3 --listen 127.0.0.1:7423 --follow 127.0.0.1:7421 --user proxy --password secret
for i in 1 2 3 4; do
  zone=zone-a
  if [ $((i % 2)) = 0 ]; then zone=zone-b; fi
  cat > "vm-$i.jsonc" <<JSON
{
	"vm": {"id": "vm-$i", "zone": "$zone"},
	"caller": {"listen": "127.0.0.1:743$i", "require_tls": false},
	"peer": {"listen": "127.0.0.1:741$i", "advertise": "127.0.0.1:741$i",
		"tls": {"cert": "peer.pem", "key": "peer.key", "ca": "ca.pem"}},
	"operator": {"listen": "127.0.0.1:744$i"},
	"admin": {"listen": "127.0.0.1:745$i"},
	"platform": {"addresses": ["127.0.0.1:7400"]},
	"upstream": {"user": "proxy", "password": "secret"},
}
JSON
  start "vm-$i.log" "$bin/chervilhatchd" run --settings "vm-$i.jsonc"
done
