package org.hickoryspar.node.faults;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Faults to inject into a process, read from JSON.
 *
 * @param wallClockOffsetMillis offset added to the wall clock
 * @param syncDelayMillis delay added to each sync
 * @param diskFull whether each write fails
 * @param dial address to connect to, by the address of the peer that it replaces; null for none
 */
record InjectedFaults(
    @JsonProperty("wallClockOffsetMillis") long wallClockOffsetMillis,
    @JsonProperty("syncDelayMillis") long syncDelayMillis,
    @JsonProperty("diskFull") boolean diskFull,
    @JsonProperty("dial") @Nullable Map<String, String> dial) {

  static final InjectedFaults NONE = new InjectedFaults(0, 0, false, Map.of());

  InjectedFaults {
    dial = dial == null ? Map.of() : Map.copyOf(dial);
  }
}
