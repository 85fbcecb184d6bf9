package org.hickoryspar.node.dispatch;

import java.util.EnumMap;
import java.util.Map;
import java.util.logging.Level;
import org.hickoryspar.kernel.dispatch.DispatchEventKind;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the dispatcher, 5101 to 5199: one per {@link DispatchEventKind}, of its name. */
enum DecisionEvent implements LogEvent {
  RUN_PLACED(5101),
  GROUP_WAITS(5116),
  PREFERENCES_DROPPED(5122),
  RUN_REFUSED(5102),
  START_REJECTED(5103),
  START_GIVEN_UP(5132),
  RUN_STOPPING(5104),
  RUN_PREEMPTED(5105),
  RUN_MOVED(5134),
  TASK_ENDED(5106),
  RUN_OVER(5117),
  TASK_LOST(5107),
  STRAY_TASK(5108),
  WORKFLOW_ENDED(5109),
  MINION_JOINED(5110),
  MINION_DRAINING(5111),
  MINION_GONE(5112),
  MINION_ISOLATED(5113),
  MINION_PACE_CHANGED(5133),
  MINION_SUSPECTED(5114),
  MINION_RETURNED(5115),
  MINION_LEAVING(5118),
  MINION_STAYED(5119),
  MINION_PROVISIONAL(5120),
  MINION_CONFIRMED(5121),
  LIFE_UNPROVEN(5135),
  LIFE_REFUTED(5136),
  REPORT_IGNORED(5137),
  OVERLOAD_ENTERED(5129),
  OVERLOAD_LEFT(5130),
  AHEAD_OF_TURN(5131);

  private static final Map<DispatchEventKind, DecisionEvent> BY_KIND =
      new EnumMap<>(DispatchEventKind.class);

  static {
    for (DispatchEventKind kind : DispatchEventKind.values()) {
      BY_KIND.put(kind, valueOf(kind.name()));
    }
  }

  private final int number;

  DecisionEvent(int number) {
    this.number = number;
  }

  static DecisionEvent of(DispatchEventKind kind) {
    DecisionEvent event = BY_KIND.get(kind);
    if (event == null) {
      throw new IllegalArgumentException("no event for " + kind);
    }
    return event;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return Level.INFO;
  }

  @Override
  public String template() {
    return "%s";
  }
}
