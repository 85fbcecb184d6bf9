package org.hickoryspar.bench;

import static org.hickoryspar.kernel.scheduling.Adjacency.NONE;
import static org.hickoryspar.kernel.scheduling.Adjacency.RACK;
import static org.hickoryspar.kernel.scheduling.Adjacency.WORKER;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.hickoryspar.bench.JobClass.Arrival;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.TeamPolicy;

/**
 * The fleet, the teams and the classes of jobs of one site, from sections 1.1 and 1.5 of the design
 * page.
 *
 * @param name name on the command line and in reports
 * @param workersByDataCentre number of workers in each data centre
 * @param worker resources of each worker
 * @param classes the classes of jobs
 * @param teams the teams, the largest first
 * @param teamShares share of the jobs that each team submits, in the order of {@code teams}
 * @param days length of the submission period in days
 * @param placementPolicy placement policy of the site, used by variants that name none
 */
public record Deployment(
    String name,
    Map<String, Integer> workersByDataCentre,
    ResourceVector worker,
    List<JobClass> classes,
    List<TeamPolicy> teams,
    List<Double> teamShares,
    int days,
    String placementPolicy) {

  /** Number of workers in a rack, in all deployments. */
  public static final int WORKERS_PER_RACK = 8;

  /** Number of workers of the deployment {@code two-years}. */
  public static final int TWO_YEAR_WORKERS = 1_700;

  /**
   * Returns a deployment by its name.
   *
   * @param name {@code "archive"}, {@code "caroni"} or {@code "two-years"}
   * @return the deployment
   * @throws IllegalArgumentException if there is no deployment of that name
   */
  public static Deployment named(String name) {
    return switch (name) {
      case "archive" -> archive();
      case "caroni" -> caroni();
      case "two-years" -> twoYears(TWO_YEAR_WORKERS);
      default ->
          throw new IllegalArgumentException(
              "unknown deployment " + name + ", expected archive, caroni or two-years");
    };
  }

  /**
   * Returns the deployment of the Armor Snowflake Archive: long jobs that need adjacent
   * accelerators, and short previews.
   *
   * @return the deployment
   */
  public static Deployment archive() {
    List<JobClass> classes =
        List.of(
            new JobClass("preview", 400, true, 0.2, shapes(NONE, 1, 1, 1), 60, Arrival.DAYTIME),
            new JobClass(
                "reconstruction", 22, false, 0.6, shapes(RACK, 8, 2, 4, 4), 9_000, Arrival.DAYTIME),
            new JobClass(
                "symmetry", 130, false, 0.6, shapes(WORKER, 2, 2, 4, 4), 4_800, Arrival.BURSTS),
            new JobClass(
                "measurement", 420, false, 0.5, shapes(NONE, 1, 1, 2, 2), 5_400, Arrival.BURSTS));
    List<TeamPolicy> teams =
        List.of(
            team("structure", 168, 2, gang(2, 8, RACK), gang(1, 8, WORKER)),
            team("symmetry", 120, 1, gang(4, 2, WORKER)),
            team("catalogue", 96, 1, gang(1, 8, WORKER)),
            team("outreach", 48, 0.5, gang(1, 4, WORKER)));
    return new Deployment(
        "archive",
        ImmutableMap.of("brest-a", 16, "quimper-a", 8, "rennes-a", 6),
        new ResourceVector(32, 128_000, 8),
        classes,
        teams,
        List.of(0.45, 0.25, 0.2, 0.1),
        3,
        "fragmentation");
  }

  /**
   * Returns the deployment of Caroni Fountain Diagnostics: urgent checks, and long reviews
   * overnight.
   *
   * @return the deployment
   */
  public static Deployment caroni() {
    List<JobClass> classes =
        List.of(
            new JobClass("wear", 600, true, 0, shapes(NONE, 1, 1, 1, 2), 240, Arrival.DAYTIME),
            new JobClass("seal", 300, true, 0, shapes(NONE, 2, 1), 180, Arrival.BURSTS),
            new JobClass(
                "flow-curve", 60, false, 0.6, shapes(WORKER, 4, 1, 2), 16_000, Arrival.EVENING),
            new JobClass(
                "calibration", 700, false, 0.5, shapes(NONE, 1, 1, 2, 4), 1_800, Arrival.BURSTS),
            new JobClass(
                "simulation", 100, false, 0.6, shapes(RACK, 2, 4, 8), 6_000, Arrival.DAYTIME));
    List<TeamPolicy> teams =
        List.of(
            team("wear", 144, 1, gang(1, 8, WORKER), gang(4, 1, NONE)),
            team("seals", 144, 1, gang(4, 2, WORKER)),
            team("reviews", 144, 1, gang(1, 8, WORKER)),
            team("modelling", 144, 1, gang(4, 4, RACK)));
    return new Deployment(
        "caroni",
        ImmutableMap.of("port-spain", 16, "arima", 8, "san-fernando", 6),
        new ResourceVector(64, 256_000, 8),
        classes,
        teams,
        List.of(0.25, 0.25, 0.25, 0.25),
        3,
        "completion-time");
  }

  /**
   * Returns the deployment {@code two-years}, or the same mix of jobs on a smaller fleet.
   *
   * @param workers number of workers; {@value #TWO_YEAR_WORKERS} is the full size
   * @return the deployment, with numbers of jobs and teams in proportion to the workers
   */
  public static Deployment twoYears(int workers) {
    double scale = workers / (double) TWO_YEAR_WORKERS;
    List<GangShape> gangs = new ArrayList<>(shapes(RACK, 1, 8, 16, 16, 16));
    gangs.addAll(shapes(WORKER, 1, 8, 8));
    gangs.addAll(shapes(RACK, 2, 8, 16, 16));
    List<GangShape> largeGangs = new ArrayList<>(shapes(RACK, 1, 32, 32, 64, 64));
    largeGangs.addAll(shapes(NONE, 1, 64));
    largeGangs.addAll(shapes(RACK, 2, 32));
    List<JobClass> classes =
        List.of(
            new JobClass(
                "urgent", 300 * scale, true, 0.1, shapes(NONE, 1, 1, 2, 4), 240, Arrival.DAYTIME),
            new JobClass(
                "urgent-burst", 200 * scale, true, 0, shapes(NONE, 1, 2, 4), 300, Arrival.BURSTS),
            new JobClass(
                "small", 900 * scale, false, 0.6, shapes(NONE, 2, 1, 2, 4), 19_000, Arrival.BURSTS),
            new JobClass("gang", 900 * scale, false, 0.6, gangs, 35_000, Arrival.DAYTIME),
            new JobClass(
                "large-gang", 200 * scale, false, 0.6, largeGangs, 48_000, Arrival.DAYTIME));
    int teamCount = Math.max(4, (int) Math.round(65 * scale));
    int accelerators = workers * 8;
    List<TeamPolicy> teams = new ArrayList<>();
    List<Double> shares = new ArrayList<>();
    double harmonicSum = IntStream.rangeClosed(1, teamCount).mapToDouble(i -> 1.0 / (i + 4)).sum();
    for (int i = 1; i <= teamCount; i++) {
      double share = 1.0 / (i + 4) / harmonicSum;
      shares.add(share);
      GangShape guaranteed = i % 6 == 1 ? gang(16, 1, RACK) : gang(8, 1, WORKER);
      int quota = Math.max(72, (int) (accelerators * Math.min(0.5, share * 2)));
      teams.add(team("team-" + i, quota, 1, guaranteed));
    }
    int dataCentreCount = Math.max(3, (int) Math.round(21 * Math.min(1, scale * 2)));
    Map<String, Integer> workersByDataCentre = new LinkedHashMap<>();
    for (int i = 0; i < dataCentreCount; i++) {
      workersByDataCentre.put(
          "dc-" + (i + 1), workers / dataCentreCount + (i < workers % dataCentreCount ? 1 : 0));
    }
    return new Deployment(
        "two-years",
        workersByDataCentre,
        new ResourceVector(32, 128_000, 8),
        classes,
        teams,
        shares,
        1,
        "fragmentation");
  }

  private static TeamPolicy team(
      String name, int quotaAccelerators, double weight, GangShape... guarantees) {
    ResourceVector quota =
        new ResourceVector(quotaAccelerators * 8, quotaAccelerators * 32_000, quotaAccelerators);
    return new TeamPolicy(name, quota, weight, List.of(guarantees));
  }

  private static List<GangShape> shapes(Adjacency adjacency, int accelerators, int... taskCounts) {
    List<GangShape> shapes = new ArrayList<>();
    for (int tasks : taskCounts) {
      shapes.add(gang(tasks, accelerators, adjacency));
    }
    return shapes;
  }

  private static GangShape gang(int tasks, int accelerators, Adjacency adjacency) {
    ResourceVector perTask =
        new ResourceVector(accelerators * 4, accelerators * 16_000, accelerators);
    return new GangShape(tasks, perTask, adjacency);
  }
}
