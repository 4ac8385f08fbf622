#!/usr/bin/env bash
# Starts a site's cell as separate processes on loopback addresses, each of
# them standing for a VM, with stand-in workers and backend servers.
set -eu
site=${1:-consortium}
here=$(cd "$(dirname "$0")" && pwd)
settings=$here/$site
case $site in
  consortium) centres='muscat:1 sohar:2 salalah:3'; vms='1 2 3'; disks='1 2'
    service=returns; cores=64 ;;
  jadranska) centres='zagreb:1 rijeka:2 split:3 osijek:4'; vms='1 2'; disks='1 2'
    service=corrections; cores=32 ;;
  *) echo "no such site: $site" >&2; exit 2 ;;
esac
logs=data/$site/logs
mkdir -p "$logs"
trap 'kill $(jobs -p) 2>/dev/null || true' EXIT
for centre in $centres; do
  name=${centre%%:*}
  net=${centre##*:}
  for number in $disks; do
    mulberryhitch-scheduler --settings "$settings" --vm "$name-$number" \
      2>>"$logs/scheduler-$name-$number.json" &
  done
  for number in $vms; do
    mulberryhitch-entry --settings "$settings" --vm "$name-$number" \
      2>>"$logs/entry-$name-$number.json" &
  done
  mulberryhitch-standin --settings "$settings" --data-centre "$name" \
    --host "127.0.$net.100" --service "$service" --cores "$cores" \
    --workers "${WORKERS:-6}" --servers "${SERVERS:-6}" \
    2>>"$logs/standin-$name.log" &
done
echo "The cell of $site starts; logs are in $logs."
echo "Try: .venv/bin/mulberryhitch --entry 127.0.1.1:8700 members"
echo "Stop it with Ctrl-C."
wait
