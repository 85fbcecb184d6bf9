package org.hickoryspar.kernel.replication;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class ReplicaCoreTest {

  /** Replays one schedule with a trace: {@code -Dreplication.seed=17}. */
  private static final Long SEED = Long.getLong("replication.seed");

  private static final long SCHEDULES = Long.getLong("replication.schedules", 2_000);
  private static final long FIRST_SEED = Long.getLong("replication.firstSeed", 1);
  private static final long FAULT_MILLIS = 3_000;

  // -- step

  /**
   * Guards against two leaders in a term, lost or changed entries, reads that go back, commands
   * that are applied twice, and a cluster that does not recover.
   */
  @Test
  public void shouldKeepItsPromisesUnderRandomFaults() throws Exception {
    if (SEED != null) {
      new Simulation(SEED, true).run(FAULT_MILLIS);
      return;
    }
    ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    AtomicLong commands = new AtomicLong();
    AtomicLong reads = new AtomicLong();
    AtomicLong barriers = new AtomicLong();
    AtomicLong terms = new AtomicLong();
    long started = System.nanoTime();
    ForkJoinPool pool = new ForkJoinPool(4);
    pool.submit(
            () ->
                LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
                    .parallel()
                    .forEach(
                        seed -> {
                          Simulation simulation = new Simulation(seed, false);
                          try {
                            simulation.run(FAULT_MILLIS);
                          } catch (RuntimeException | AssertionError e) {
                            failures.add("-Dreplication.seed=" + seed + ": " + e);
                          }
                          commands.addAndGet(simulation.history().commands());
                          reads.addAndGet(simulation.history().leaseReads());
                          barriers.addAndGet(simulation.history().barrierReads());
                          terms.addAndGet(simulation.history().terms());
                        }))
        .get();
    pool.shutdown();
    System.out.printf(
        "replication: %d schedules in %.1f s: %d commands, %d lease reads, %d barrier reads, "
            + "%d terms with a leader%n",
        SCHEDULES,
        (System.nanoTime() - started) / 1e9,
        commands.get(),
        reads.get(),
        barriers.get(),
        terms.get());
    assertTrue(failures.isEmpty(), failures.size() + " failed:\n" + String.join("\n", failures));
  }
}
