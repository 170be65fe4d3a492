# Functions that configure and start a fleet of daemons on loopback addresses. Sourced after processes.sh.

# The caller may set ports and network, so that two fleets can run at the same time.
VM_NETWORK="${VM_NETWORK:-127.0.10}"
CALLER_PORT="${CALLER_PORT:-18080}"
PEER_PORT="${PEER_PORT:-18090}"
OPERATOR_PORT="${OPERATOR_PORT:-18091}"
PLATFORM_PORT="${PLATFORM_PORT:-18070}"
BACKEND_ADMIN_PORT="${BACKEND_ADMIN_PORT:-18071}"
# Number of daemons that start at the same time; more would only compete for the CPU.
START_BATCH=4
DAEMON_JAVA_OPTIONS="${DAEMON_JAVA_OPTIONS:--Xms24m -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -XX:ReservedCodeCacheSize=32m}"

# vm_host N: prints the loopback address of VM N.
vm_host() {
    echo "$VM_NETWORK.$1"
}

# vm_data_centre N DC...: prints the data centre of VM N; VMs are assigned to data centres in turn.
vm_data_centre() {
    local index=$1
    shift
    local all=("$@")
    echo "${all[$(((index - 1) % ${#all[@]}))]}"
}

# write_settings FILE N DC: writes the settings of VM N.
write_settings() {
    cat >"$1" <<JSON
{
  "vm": "vm-$2",
  "dataCentre": "$3",
  "host": "$(vm_host "$2")",
  "callerPort": $CALLER_PORT,
  "peerPort": $PEER_PORT,
  "operatorPort": $OPERATOR_PORT,
  "platform": "http://127.0.0.1:$PLATFORM_PORT",
  "seeds": [{"host": "$(vm_host 1)", "peerPort": $PEER_PORT}, {"host": "$(vm_host 2)", "peerPort": $PEER_PORT}],
  "stopSeconds": 20
}
JSON
}

# start_daemon N DC: writes the settings of VM N and starts its daemon.
start_daemon() {
    write_settings "$RUN_DIR/vm-$1.json" "$1" "$2"
    # shellcheck disable=SC2086
    start "vm-$1" java $DAEMON_JAVA_OPTIONS -jar target/coppershelf/coppershelf entry --settings "$RUN_DIR/vm-$1.json"
}

# operators N: prints the operator addresses of the VMs 1 to N, separated by commas.
operators() {
    local list="" n
    for n in $(seq 1 "$1"); do
        list="$list${list:+,}$(vm_host "$n"):$OPERATOR_PORT"
    done
    echo "$list"
}

# customer_directory NAME: prints the directory with the examples of a customer, given the name of its site or its own.
customer_directory() {
    case "$1" in
        dk-west | association) echo examples/association ;;
        thess | syrmatourgia) echo examples/syrmatourgia ;;
        *)
            echo "unknown customer \"$1\": expected association (dk-west) or syrmatourgia (thess)" >&2
            exit 2
            ;;
    esac
}

# customer_data_centres NAME: prints the data centres of a customer.
customer_data_centres() {
    case "$1" in
        dk-west | association) echo "herning viborg odense vejle" ;;
        *) echo "thess-a thess-b thess-c thess-d" ;;
    esac
}

# write_vms FILE COUNT DC...: writes the VM list of the platform, with the VMs 1 to COUNT.
write_vms() {
    local file=$1 count=$2 n
    shift 2
    {
        echo '{"vms": ['
        for n in $(seq 1 "$count"); do
            [ "$n" -gt 1 ] && echo ','
            printf '{"id": "vm-%s", "dataCentre": "%s", "host": "%s", "peerPort": %s, "operatorPort": %s, "leaving": false}' \
                "$n" "$(vm_data_centre "$n" "$@")" "$(vm_host "$n")" "$PEER_PORT" "$OPERATOR_PORT"
        done
        echo ']}'
    } >"$file"
}

# start_stand_ins CUSTOMER COUNT: starts the platform with the customer's tickets and COUNT VMs, and all backend servers.
start_stand_ins() {
    local directory data_centres ticket
    directory=$(customer_directory "$1")
    data_centres=$(customer_data_centres "$1")
    ticket=$(ls "$directory"/tickets/*.json | head -n 1)
    # shellcheck disable=SC2086
    write_vms "$RUN_DIR/vms.json" "$2" $data_centres
    start platform java -Xmx128m -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain \
        platform --port "$PLATFORM_PORT" --tickets "$directory/tickets" --vms "$RUN_DIR/vms.json"
    start backends java -Xmx512m -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain \
        backends --ticket "$ticket" --admin-port "$BACKEND_ADMIN_PORT"
    wait_for_line platform "listens on"
    wait_for_line backends "servers are ready"
}

# start_daemons CUSTOMER COUNT: starts the daemons of the VMs 1 to COUNT and waits until all are ready. Sets DAEMON_PIDS.
start_daemons() {
    local data_centres n
    data_centres=$(customer_data_centres "$1")
    DAEMON_PIDS=()
    for n in $(seq 1 "$2"); do
        # shellcheck disable=SC2086
        start_daemon "$n" "$(vm_data_centre "$n" $data_centres)"
        DAEMON_PIDS+=("$LAST_PID")
        if [ $((n % START_BATCH)) = 0 ]; then
            wait_for_http "http://$(vm_host "$n"):$OPERATOR_PORT/health"
        fi
    done
    for n in $(seq 1 "$2"); do
        wait_for_http "http://$(vm_host "$n"):$OPERATOR_PORT/ready"
    done
}
