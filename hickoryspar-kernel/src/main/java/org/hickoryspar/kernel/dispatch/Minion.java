package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.order.MinionTarget;
import org.hickoryspar.kernel.minion.LeaseState;
import org.hickoryspar.kernel.minion.MinionClock;
import org.hickoryspar.kernel.minion.MinionHealth;
import org.hickoryspar.kernel.minion.MinionSpeed;
import org.hickoryspar.kernel.reports.ReportFingerprint;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;

/** The leader's view of one life of a minion. */
final class Minion {

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private MinionReport report;
  private long fingerprint;
  private final MinionClock clock = new MinionClock();
  private final Set<Member> members = new LinkedHashSet<>();
  private final LeaseState lease;
  private final UnansweredStarts unansweredStarts = new UnansweredStarts();
  private final MinionHealth health = new MinionHealth();
  private final MinionSpeed speed = new MinionSpeed();
  private Resources capacity;
  private Resources allocated = Resources.NONE;
  private Resources reserved = Resources.NONE;
  private boolean provisional;
  private boolean hasStrayTasks;
  private long leavingSinceMillis = NEVER_MILLIS;
  private boolean leavingLifeKnown;
  private long lastReportMillis;

  Minion(MinionReport report, long nowMillis) {
    this.report = report;
    this.fingerprint = ReportFingerprint.of(report);
    this.capacity = Resources.of(report.getCapacity());
    this.lastReportMillis = nowMillis;
    this.lease = new LeaseState(nowMillis);
  }

  /** Creates a life from the report of its predecessor, until its own first report arrives. */
  static Minion provisional(MinionReport predecessorReport, MinionLife life, long nowMillis) {
    return provisional(predecessorReport.toBuilder().setLife(life).build(), nowMillis);
  }

  /** Creates a life from a stale report; its state is unknown until a new report arrives. */
  static Minion provisional(MinionReport lastReport, long nowMillis) {
    Minion minion = new Minion(withoutState(lastReport), nowMillis);
    minion.provisional = true;
    return minion;
  }

  private static MinionReport withoutState(MinionReport lastReport) {
    return lastReport.toBuilder().setSequence(0).setDraining(false).setLeaving(false).build();
  }

  /** Sets the address and the capacity of a life that was known only from recorded runs. */
  void updateLocation(MinionReport staleReport) {
    report = withoutState(staleReport);
    capacity = Resources.of(staleReport.getCapacity());
  }

  void update(MinionReport newReport, long nowMillis) {
    clearLeaving();
    report = newReport;
    fingerprint = ReportFingerprint.of(newReport);
    capacity = Resources.of(newReport.getCapacity());
    provisional = false;
    lastReportMillis = nowMillis;
  }

  /**
   * Marks the minion as about to end, so that it gets no new work until it reports or responds
   * again.
   *
   * @param lifeKnown whether the announcement is known to be from this life; it may otherwise be a
   *     late one of an earlier life
   */
  void markLeaving(boolean lifeKnown, long nowMillis) {
    if (!isLeaving()) {
      leavingSinceMillis = nowMillis;
    }
    leavingLifeKnown |= lifeKnown;
  }

  void clearLeaving() {
    leavingSinceMillis = NEVER_MILLIS;
    leavingLifeKnown = false;
  }

  MinionLife life() {
    return report.getLife();
  }

  String id() {
    return report.getLife().getMinionId();
  }

  MinionTarget target() {
    return new MinionTarget(report.getLife(), report.getAddress());
  }

  /** Returns whether the address is known; it is not for a life known only from recorded runs. */
  boolean isAddressKnown() {
    return !report.getAddress().isEmpty();
  }

  boolean hasAddressOf(MinionReport other) {
    return report.getAddress().equals(other.getAddress());
  }

  MinionReport report() {
    return report;
  }

  MinionClock clock() {
    return clock;
  }

  LeaseState lease() {
    return lease;
  }

  MinionHealth health() {
    return health;
  }

  MinionSpeed speed() {
    return speed;
  }

  UnansweredStarts unansweredStarts() {
    return unansweredStarts;
  }

  String service() {
    return report.getService();
  }

  /** Returns whether a service is that of the last report, or of a task of this life. */
  boolean belongsTo(String service) {
    return report.getService().equals(service)
        || members.stream()
            .anyMatch(member -> member.run().workflow().queue().getService().equals(service));
  }

  String rack() {
    return report.getRack();
  }

  String dataCentre() {
    return report.getDataCentre();
  }

  boolean hasLabel(String label) {
    return label.isEmpty() || report.getLabelsList().contains(label);
  }

  boolean isLeaving() {
    return leavingSinceMillis != NEVER_MILLIS;
  }

  /**
   * Returns whether this life has announced its end. A minion drains first; without that, the
   * announcement may be from an earlier life that the receiver took for this one.
   */
  boolean hasAnnouncedEnd() {
    return isLeaving() && leavingLifeKnown && report.getDraining();
  }

  long leavingSinceMillis() {
    return leavingSinceMillis;
  }

  long lastReportMillis() {
    return lastReportMillis;
  }

  /** Returns the fingerprint of the latest report; that of a provisional life means nothing. */
  long fingerprint() {
    return fingerprint;
  }

  /** Returns whether the current state is unknown, because no report of it has arrived. */
  boolean isProvisional() {
    return provisional;
  }

  /** Returns whether the state of the minion permits new work; failures are not considered. */
  boolean acceptsWork() {
    return !provisional
        && !hasStrayTasks
        && !report.getDraining()
        && !isLeaving()
        && lease.hasResponded()
        && !lease.isSuspect()
        && !lease.hasUnansweredOrder();
  }

  /** Sets whether the minion runs tasks that are not recorded for it. */
  void setHasStrayTasks(boolean present) {
    hasStrayTasks = present;
  }

  /** Returns the resources that are neither allocated nor reserved for pending placements. */
  Resources free() {
    return capacity.minus(allocated).minus(reserved);
  }

  /** Returns the resources that are allocated to tasks. */
  Resources allocated() {
    return allocated;
  }

  /** Returns the resources that are reserved for pending placements. */
  Resources reserved() {
    return reserved;
  }

  void reserve(Resources resources) {
    reserved = reserved.plus(resources);
  }

  void unreserve(Resources resources) {
    reserved = reserved.minus(resources);
  }

  Resources capacity() {
    return capacity;
  }

  List<Member> members() {
    return new ArrayList<>(members);
  }

  void add(Member member) {
    if (members.add(member)) {
      allocated = allocated.plus(member.demand());
    }
  }

  void remove(Member member) {
    if (members.remove(member)) {
      allocated = allocated.minus(member.demand());
    }
  }

  boolean isIdle() {
    return members.isEmpty();
  }
}
