package org.hickoryspar.node.faults;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The faults that a process shall have.
 *
 * @param wallClockOffsetMillis how far the time of day is off
 * @param syncDelayMillis how long each sync of a file takes longer
 * @param diskFull whether each write fails
 * @param dial address to connect to in place of an address of a peer
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
