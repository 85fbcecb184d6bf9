package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;

/** One life of a minion as the leader knows it. */
final class Minion {

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private MinionReport report;
  private final MinionClock clock = new MinionClock();
  private final Set<Member> members = new LinkedHashSet<>();
  private final LeaseState lease;
  private final UnansweredStarts lateStarts = new UnansweredStarts();
  private final MinionHealth health = new MinionHealth();
  private Room capacity;
  private Room used = Room.NONE;
  private Room reserved = Room.NONE;
  private boolean provisional;
  private boolean runsStrays;
  private long leavingSinceMillis = NEVER_MILLIS;
  private long reportedMillis;

  Minion(MinionReport report, long nowMillis) {
    this.report = report;
    this.capacity = Room.of(report.getCapacity());
    this.reportedMillis = nowMillis;
    this.lease = new LeaseState(nowMillis);
  }

  /** Creates a life that is known from its predecessor only, until it reports itself. */
  static Minion provisional(MinionReport earlier, MinionLife life, long nowMillis) {
    return provisional(earlier.toBuilder().setLife(life).build(), nowMillis);
  }

  /** Creates a life whose state is not known until it reports itself. */
  static Minion provisional(MinionReport place, long nowMillis) {
    Minion minion = new Minion(withoutState(place), nowMillis);
    minion.provisional = true;
    return minion;
  }

  private static MinionReport withoutState(MinionReport place) {
    return place.toBuilder().setSequence(0).setDraining(false).setLeaving(false).build();
  }

  /** Takes note where a life can be asked that was known from records only. */
  void learnPlace(MinionReport place) {
    report = withoutState(place);
    capacity = Room.of(place.getCapacity());
  }

  void update(MinionReport newer, long nowMillis) {
    boolean leaves = newer.getLeaving();
    if (leaves && !isLeaving()) {
      leavingSinceMillis = nowMillis;
    } else if (!leaves) {
      leavingSinceMillis = NEVER_MILLIS;
    }
    report = newer;
    capacity = Room.of(newer.getCapacity());
    provisional = false;
    reportedMillis = nowMillis;
  }

  /** Takes note that the minion said it ends now. */
  void leave(long nowMillis) {
    if (!isLeaving()) {
      leavingSinceMillis = nowMillis;
    }
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

  /** Returns whether the minion can be called; one that is known from records only cannot. */
  boolean isAddressKnown() {
    return !report.getAddress().isEmpty();
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

  UnansweredStarts lateStarts() {
    return lateStarts;
  }

  String service() {
    return report.getService();
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

  long leavingSinceMillis() {
    return leavingSinceMillis;
  }

  long reportedMillis() {
    return reportedMillis;
  }

  /** Returns whether new work may be placed here as far as the minion itself is concerned. */
  boolean acceptsWork() {
    return !provisional
        && !runsStrays
        && !report.getDraining()
        && !isLeaving()
        && lease.isContacted()
        && !lease.isSuspect()
        && !lease.isSilent();
  }

  /** Takes note whether tasks run here that hold no room in the records. */
  void setRunsStrays(boolean strays) {
    runsStrays = strays;
  }

  /** Returns the room that anyone may take. */
  Room free() {
    return capacity.minus(used).minus(reserved);
  }

  /** Returns the room that is kept for groups until others have stopped. */
  Room reserved() {
    return reserved;
  }

  void reserve(Room room) {
    reserved = reserved.plus(room);
  }

  void unreserve(Room room) {
    reserved = reserved.minus(room);
  }

  Room capacity() {
    return capacity;
  }

  List<Member> members() {
    return new ArrayList<>(members);
  }

  void add(Member member) {
    if (members.add(member)) {
      used = used.plus(member.demand());
    }
  }

  void remove(Member member) {
    if (members.remove(member)) {
      used = used.minus(member.demand());
    }
  }

  boolean isIdle() {
    return members.isEmpty();
  }
}
