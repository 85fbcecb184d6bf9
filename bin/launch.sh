# Functions shared by the launchers; sourced, not run.

# Builds the class path when it is missing. $1: root of the project.
hickoryspar_build_if_missing() {
  if [ ! -d "$1/hickoryspar-bench/target/lib" ]; then
    echo "hickoryspar: building first; this needs Maven and takes about a minute" >&2
    (cd "$1" && mvn -B -q -DskipTests package) >&2
  fi
}

# Prints the class path in a fixed order: a class-data archive is only used with the class path
# that it was made with, and the order of a wildcard is that of the folder. $1: root.
hickoryspar_class_path() {
  local jars
  jars=$(printf '%s:' "$1"/hickoryspar-bench/target/lib/*.jar)
  printf '%s' "${jars%:}"
}

# Replaces the shell by a JVM. $1: root, $2: main class, others: arguments.
# The flags keep a daemon small: one collector thread, one compiler tier (C1), little code cache and
# short stacks. A daemon runs for months on little work, so peak speed matters less than memory.
hickoryspar_run() {
  local home="$1" main="$2" heap="-Xmx64m"
  shift 2
  hickoryspar_build_if_missing "$home"
  case "${1:-}" in
    entry) heap="-Xms4m -Xmx24m" ;;
    control) heap="-Xms4m -Xmx48m" ;;
  esac
  # shellcheck disable=SC2086
  exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -XX:ReservedCodeCacheSize=16m \
    $heap -Xshare:auto -XX:-UsePerfData -Dslf4j.internal.verbosity=ERROR -XX:+ExitOnOutOfMemoryError \
    ${HICKORYSPAR_JAVA_OPTIONS:-} -cp "$(hickoryspar_class_path "$home")" "$main" "$@"
}
