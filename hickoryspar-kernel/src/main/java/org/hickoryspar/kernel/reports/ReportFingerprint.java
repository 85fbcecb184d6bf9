package org.hickoryspar.kernel.reports;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hashing;
import org.hickoryspar.protocol.MinionReport;

/**
 * Identifies the state that a report describes: reports of one life that differ only in what
 * changes from report to report have the same fingerprint.
 */
public final class ReportFingerprint {

  private ReportFingerprint() {}

  /**
   * Returns a hash of the life and the state in a report.
   *
   * @param report the report
   * @return 64 bits, the same in all processes
   */
  public static long of(MinionReport report) {
    return Hashing.farmHashFingerprint64()
        .hashBytes(normalize(requireNonNull(report, "report is null")).toByteArray())
        .asLong();
  }

  // Clears the fields that differ in each report and that the leader does not need.
  private static MinionReport normalize(MinionReport report) {
    return report.toBuilder()
        .clearSequence()
        .clearClockMillis()
        .clearAgeMillis()
        .clearDrainRemainingMillis()
        .setColdRemainingMillis(report.getColdRemainingMillis() > 0 ? 1 : 0)
        .build();
  }
}
