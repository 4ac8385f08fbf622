#!/usr/bin/env bash
# Starts a site's cell as separate processes on loopback addresses, one address
# per VM, with stand-in workers and backend servers.
set -eu
site=${1:-consortium}
examples_folder=$(cd "$(dirname "$0")" && pwd)
settings=$examples_folder/$site
case $site in
  consortium) data_centres='muscat:1 sohar:2 salalah:3'
    entry_vms='1 2 3'; scheduler_vms='1 2'; service=returns; cores=64 ;;
  jadranska) data_centres='zagreb:1 rijeka:2 split:3 osijek:4'
    entry_vms='1 2'; scheduler_vms='1 2'; service=corrections; cores=32 ;;
  *) echo "unknown site: $site" >&2; exit 2 ;;
esac
logs=data/$site/logs
mkdir -p "$logs"
trap 'kill $(jobs -p) 2>/dev/null || true' EXIT
for data_centre in $data_centres; do
  name=${data_centre%%:*}
  subnet=${data_centre##*:}
  for number in $scheduler_vms; do
    mulberryhitch-scheduler --settings "$settings" --vm "$name-$number" \
      2>>"$logs/scheduler-$name-$number.json" &
  done
  for number in $entry_vms; do
    mulberryhitch-entry --settings "$settings" --vm "$name-$number" \
      2>>"$logs/entry-$name-$number.json" &
  done
  mulberryhitch-standin --settings "$settings" --data-centre "$name" \
    --host "127.0.$subnet.100" --service "$service" --cores "$cores" \
    --workers "${WORKERS:-6}" --servers "${SERVERS:-6}" \
    2>>"$logs/standin-$name.log" &
done
echo "Starting the cell of $site; logs are in $logs."
echo "Try: .venv/bin/mulberryhitch --entry 127.0.1.1:8700 members"
echo "Stop it with Ctrl-C."
wait
