package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Metrics of the memory and the processor time of the process, which are limited to 32 MB and 5% of
 * a core.
 */
public final class ProcessMetrics {

  private static final Path PROC_STATUS = Path.of("/proc/self/status");
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long BYTES_PER_KIBIBYTE = 1024;

  private ProcessMetrics() {}

  /**
   * Registers gauges of the resident memory and the used heap, and a counter of processor time.
   *
   * @param registry registry of the process
   */
  public static void register(PrometheusRegistry registry) {
    requireNonNull(registry, "registry is null");
    GaugeWithCallback.builder()
        .name("process_resident_memory_bytes")
        .help("Resident memory of the process in bytes.")
        .callback(callback -> callback.call((double) residentBytes()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("hickoryspar_heap_used_bytes")
        .help("Used heap of the process in bytes.")
        .callback(callback -> callback.call((double) usedHeapBytes()))
        .register(registry);
    CounterWithCallback.builder()
        .name("process_cpu_seconds_total")
        .help("Processor time used by the process in seconds.")
        .callback(
            callback ->
                callback.call(
                    ProcessHandle.current()
                        .info()
                        .totalCpuDuration()
                        .map(duration -> duration.toNanos() / NANOS_PER_SECOND)
                        .orElse(0.0)))
        .register(registry);
  }

  private static long usedHeapBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Reads the resident memory of this process.
   *
   * @return bytes, or 0 on systems without {@code /proc}
   */
  public static long residentBytes() {
    try {
      for (String line : Files.readAllLines(PROC_STATUS)) {
        if (line.startsWith("VmRSS:")) {
          String kibibytes = line.replaceAll("[^0-9]", "");
          return Long.parseLong(kibibytes) * BYTES_PER_KIBIBYTE;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }
}
