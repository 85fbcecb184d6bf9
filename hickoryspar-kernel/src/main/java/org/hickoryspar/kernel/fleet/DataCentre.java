package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

/**
 * A data centre as operators declare it.
 *
 * @param region region that holds it
 * @param out true while nothing may start in it
 * @param reason why it is out; kept from the last change when it is in
 * @param owner the operator who took it out or returned it; blank before the first change
 */
public record DataCentre(String region, boolean out, String reason, String owner) {

  /** Checks the components. */
  public DataCentre {
    requireNonNull(region, "region is null");
    requireNonNull(reason, "reason is null");
    requireNonNull(owner, "owner is null");
  }
}
