# Functions that describe a fleet of daemons on loopback addresses and start it. Sourced after processes.sh.

CALLER_PORT=18080
PEER_PORT=18090
OPERATOR_PORT=18091
PLATFORM_PORT=18070
BACKEND_ADMIN_PORT=18071
DAEMON_JAVA_OPTIONS="${DAEMON_JAVA_OPTIONS:--Xms24m -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -XX:ReservedCodeCacheSize=32m}"

# vm_host N: the loopback address of the VM with the number N.
vm_host() {
    echo "127.0.10.$1"
}

# vm_data_centre N DC...: data centres are given in turn.
vm_data_centre() {
    local index=$1
    shift
    local all=("$@")
    echo "${all[$(((index - 1) % ${#all[@]}))]}"
}

# write_settings FILE N DC: the settings of the VM with the number N.
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

# start_daemon N DC: writes the settings of the VM and starts its daemon.
start_daemon() {
    write_settings "$RUN_DIR/vm-$1.json" "$1" "$2"
    # shellcheck disable=SC2086
    start "vm-$1" java $DAEMON_JAVA_OPTIONS -jar coppershelf/target/coppershelf entry --settings "$RUN_DIR/vm-$1.json"
}

# operators N: the operator addresses of the VMs 1 to N, with commas.
operators() {
    local list="" n
    for n in $(seq 1 "$1"); do
        list="$list${list:+,}$(vm_host "$n"):$OPERATOR_PORT"
    done
    echo "$list"
}

# customer_directory NAME: the examples of a customer, by its site name or its own.
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

# customer_data_centres NAME
customer_data_centres() {
    case "$1" in
        dk-west | association) echo "herning viborg odense vejle" ;;
        *) echo "thess-a thess-b thess-c thess-d" ;;
    esac
}
