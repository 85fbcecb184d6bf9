package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

/**
 * A data centre as declared in the fleet document.
 *
 * @param region region of the data centre
 * @param out true while the data centre is out of service, so that nothing may start in it
 * @param reason reason of the last change of {@code out}; may be blank while in service
 * @param owner operator who made that change; blank before the first one
 */
public record DataCentre(String region, boolean out, String reason, String owner) {

  /**
   * Throws {@link NullPointerException} if {@code region}, {@code reason} or {@code owner} is null.
   */
  public DataCentre {
    requireNonNull(region, "region is null");
    requireNonNull(reason, "reason is null");
    requireNonNull(owner, "owner is null");
  }
}
