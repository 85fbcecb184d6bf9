package org.hickoryspar.kernel.runtime;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * What the runs of a step have in common with other runs.
 *
 * @param queue name of the queue
 * @param team name of the team
 * @param image name of what the tasks run, empty if it is not known
 * @param cpuMillicores processor demand of a task, in thousandths of a core
 * @param memoryMegabytes memory demand of a task
 * @param accelerators accelerators of a task
 * @param gangSizeLog2 logarithm to the base 2 of the size of a gang, -1 for single tasks
 */
public record RunProfile(
    String queue,
    String team,
    String image,
    long cpuMillicores,
    long memoryMegabytes,
    int accelerators,
    int gangSizeLog2) {

  /** Lower declared times count as this; the ratios to them would leave the scale. */
  private static final long MIN_DECLARED_MILLIS = 100;

  /** Higher declared times count as this: a day. */
  private static final long MAX_DECLARED_MILLIS = 24L * 60 * 60 * 1_000;

  /** Assumed for a step without a declared time. */
  private static final long DEFAULT_RUN_MILLIS = 5_000;

  /** Throws {@link NullPointerException} if a name is null. */
  public RunProfile {
    requireNonNull(queue, "queue is null");
    requireNonNull(team, "team is null");
    requireNonNull(image, "image is null");
  }

  /**
   * Returns the profile of the runs of a step.
   *
   * @param queue name of the queue
   * @param team name of the team
   * @param step the step
   * @return the profile
   */
  public static RunProfile of(String queue, String team, WorkflowStep step) {
    TaskDemand demand = requireNonNull(step, "step is null").getDemand();
    return new RunProfile(
        queue,
        team,
        step.getImage(),
        demand.getCpuMillicores(),
        demand.getMemoryMegabytes(),
        demand.getAccelerators(),
        step.getGang() ? Integer.SIZE - 1 - Integer.numberOfLeadingZeros(step.getTasks()) : -1);
  }

  /**
   * Returns the run time that a step declares.
   *
   * @param step the step
   * @return milliseconds, a default if the step declares none
   */
  public static long declaredMillis(WorkflowStep step) {
    long declaredMillis = requireNonNull(step, "step is null").getEstimatedMillis();
    return declaredMillis > 0
        ? Math.min(Math.max(declaredMillis, MIN_DECLARED_MILLIS), MAX_DECLARED_MILLIS)
        : DEFAULT_RUN_MILLIS;
  }

  /** Returns the same number on each replica for all profiles that agree up to a level. */
  long keyAt(KeyLevel level) {
    Hasher hasher = Hashing.farmHashFingerprint64().newHasher();
    putString(hasher, level.name());
    putString(hasher, queue);
    if (level.compareTo(KeyLevel.SIZE) >= 0) {
      hasher.putInt(gangSizeLog2);
    }
    if (level.compareTo(KeyLevel.WORK) >= 0) {
      putString(hasher, image);
      hasher.putLong(cpuMillicores).putLong(memoryMegabytes).putInt(accelerators);
    }
    if (level.compareTo(KeyLevel.TEAM) >= 0) {
      putString(hasher, team);
    }
    return hasher.hash().asLong();
  }

  private static void putString(Hasher hasher, String text) {
    hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
  }
}
