# Functions shared by the launchers; sourced, not run.

# Builds the project if its class path is missing. $1: root of the project.
hickoryspar_build_if_missing() {
  if [ ! -d "$1/hickoryspar-bench/target/lib" ]; then
    echo "hickoryspar: building first; this needs Maven and takes a minute or more" >&2
    (cd "$1" && mvn -B -q -DskipTests package) >&2
  fi
}

# Prints the class path with its jars in sorted order. The JVM uses a class-data archive only with
# the class path of its creation, and expands a wildcard in directory order. $1: root.
hickoryspar_class_path() {
  local jars
  jars=$(printf '%s:' "$1"/hickoryspar-bench/target/lib/*.jar)
  printf '%s' "${jars%:}"
}

# Prints the path of the class-data archive. $1: root.
hickoryspar_archive() { printf '%s/hickoryspar-bench/target/hickoryspar.jsa' "$1"; }

# Returns whether there is a class-data archive that is newer than every jar. $1: root.
hickoryspar_archive_is_current() {
  local archive
  archive=$(hickoryspar_archive "$1")
  [ -f "$archive" ] &&
    [ -z "$(find "$1/hickoryspar-bench/target/lib" -name '*.jar' -newer "$archive" -print -quit)" ]
}

# Replaces the shell process with a JVM. $1: root, $2: main class, others: arguments.
# The flags reduce the memory of a daemon: the serial collector, only the C1 compiler, a small code
# cache, short thread stacks and a young generation of 2 MB. A daemon runs for months under little
# load, so memory matters more than peak speed.
hickoryspar_run() {
  local home="$1" main="$2" heap=64m archive=()
  shift 2
  hickoryspar_build_if_missing "$home"
  case "${1:-}" in
    entry) heap=24m ;;
    control) heap=48m ;;
  esac
  # Mode 0 maps the archive at its preferred address. A relocated archive is copied into private
  # memory, which costs more than the archive saves.
  if hickoryspar_archive_is_current "$home"; then
    archive=(-XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0
      "-XX:SharedArchiveFile=$(hickoryspar_archive "$home")")
  fi
  # shellcheck disable=SC2086
  exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -XX:ReservedCodeCacheSize=16m \
    -Xms4m -Xmn2m -Xmx$heap -Xshare:auto "${archive[@]}" -XX:-UsePerfData \
    -Dslf4j.internal.verbosity=ERROR -XX:+ExitOnOutOfMemoryError ${HICKORYSPAR_JAVA_OPTIONS:-} \
    -cp "$(hickoryspar_class_path "$home")" "$main" "$@"
}
