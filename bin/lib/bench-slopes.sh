java -Xmx6g -XX:+UseSerialGC -XX:MarkSweepAlwaysCompactCount=1 -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain slopes "$@"
