# Measures the spread time of tickets under each fault, with 36 daemons, network links that can be cut, and a platform that
# publishes no other tickets.
#   --daemons N  --tickets N

DAEMONS=36
TICKETS=10
while [ $# -gt 0 ]; do
    case "$1" in
        --daemons) DAEMONS=$2 ;;
        --tickets) TICKETS=$2 ;;
        *)
            echo "unknown option \"$1\"" >&2
            exit 2
            ;;
    esac
    shift 2
done

CUTS="$RUN_DIR/cuts"
: >"$CUTS"

# start_daemon N DC: starts a daemon whose links are cut as the file $CUTS states.
start_daemon() {
    write_settings "$RUN_DIR/vm-$1.json" "$1" "$2"
    # shellcheck disable=SC2086
    start "vm-$1" java $DAEMON_JAVA_OPTIONS -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain \
        cuttable-daemon --settings "$RUN_DIR/vm-$1.json" --cuts "$CUTS"
}

# ids_of REMAINDER...: prints the ids of the VMs whose number modulo 4 is one of the remainders.
ids_of() {
    local list="" n remainder
    for n in $(seq 1 "$DAEMONS"); do
        for remainder in "$@"; do
            [ $((n % 4)) -eq "$remainder" ] && list="$list${list:+,}vm-$n"
        done
    done
    echo "$list"
}

data_centres=$(customer_data_centres association)
# shellcheck disable=SC2086
write_vms "$RUN_DIR/vms.json" "$DAEMONS" $data_centres
mkdir -p "$RUN_DIR/tickets"
echo '{"ticket": 1, "services": {"spread": {"floor": 1, "detectionWeight": 0.5}}}' >"$RUN_DIR/tickets/1.json"
start platform java -Xmx128m -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain \
    platform --port "$PLATFORM_PORT" --tickets "$RUN_DIR/tickets" --vms "$RUN_DIR/vms.json"
wait_for_line platform "listens on"
start_daemons association "$DAEMONS"
echo "$DAEMONS daemons are ready."
java -Xmx256m -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain tickets \
    --operators "$(operators "$DAEMONS")" --platform "http://127.0.0.1:$PLATFORM_PORT" --cuts "$CUTS" \
    --inside "$(ids_of 1)" --outside "$(ids_of 0 2 3)" --tickets "$TICKETS"
