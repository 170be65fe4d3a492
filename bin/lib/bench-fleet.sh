# Starts 36 daemons with a customer's three services and injects one fault into a backend server, a VM or the platform.
#   --customer association|thess  --fault NAME  --load PERCENT  --daemons N  --seconds N
#   --vm-fault none|kill|pause|restart|platform-down|platform-stale|platform-rolled-back

CUSTOMER=association
DAEMONS=36
VM_FAULT=none
FAULT_AFTER_SECONDS=27
PAUSE_SECONDS=30
rest=()
while [ $# -gt 0 ]; do
    case "$1" in
        --customer) CUSTOMER=$2 ;;
        --daemons) DAEMONS=$2 ;;
        --vm-fault) VM_FAULT=$2 ;;
        --fault | --load | --seconds | --work-millis) rest+=("$1" "$2") ;;
        *)
            echo "unknown option \"$1\"" >&2
            exit 2
            ;;
    esac
    shift 2
done

switch_platform() {
    curl -fs -o /dev/null --data "$1" "http://127.0.0.1:$PLATFORM_PORT/control/fault"
}

# Injects the fault into VM 5 or the platform, FAULT_AFTER_SECONDS after the start of the run.
do_vm_fault() {
    sleep "$FAULT_AFTER_SECONDS"
    case "$VM_FAULT" in
        kill) kill -KILL "${DAEMON_PIDS[4]}" ;;
        pause)
            kill -STOP "${DAEMON_PIDS[4]}"
            sleep "$PAUSE_SECONDS"
            kill -CONT "${DAEMON_PIDS[4]}"
            ;;
        restart) kill -TERM "${DAEMON_PIDS[4]}" ;;
        platform-down) switch_platform down ;;
        platform-stale) switch_platform stale ;;
        platform-rolled-back) switch_platform rolled-back ;;
        *) ;;
    esac
}

directory=$(customer_directory "$CUSTOMER")
start_stand_ins "$CUSTOMER" "$DAEMONS"
start_daemons "$CUSTOMER" "$DAEMONS"
callers=""
for n in $(seq 1 "$DAEMONS"); do
    callers="$callers${callers:+,}$(vm_host "$n"):$CALLER_PORT"
done
do_vm_fault &
STARTED_PIDS+=("$!")
result=0
java -Xmx1g -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain fleet \
    --customer "$CUSTOMER" --ticket "$(ls "$directory"/tickets/*.json | head -n 1)" \
    --callers "$callers" --operators "$(operators "$DAEMONS")" --vm-fault "$VM_FAULT" \
    --backend-admin-port "$BACKEND_ADMIN_PORT" "${rest[@]}" || result=$?
exit "$result"
