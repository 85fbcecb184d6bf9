package org.hickoryspar.kernel.catalog;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.DataCentreRecord;
import org.hickoryspar.protocol.DataCentreSwitch;

/**
 * Replicated state of the catalog and of the data centres that are out of service. Changed by one
 * thread; may be read by any thread.
 */
public final class CatalogState {

  private volatile CatalogChange lastChange = CatalogChange.getDefaultInstance();
  private volatile CatalogView view = CatalogView.empty();
  private volatile Map<String, DataCentreRecord> dataCentres = Map.of();
  private volatile Set<String> dataCentresOut = Set.of();

  /** Creates a state with the empty catalog of version 0 and all data centres in service. */
  public CatalogState() {}

  /**
   * Replaces the current catalog if the new one is valid and has a higher version.
   *
   * @param change the new catalog with the document that the operator sent
   * @return the reason of the rejection, or empty if the current version is now at least that of
   *     the change
   */
  public Optional<Problem> apply(CatalogChange change) {
    requireNonNull(change, "change is null");
    Optional<Problem> problem = CatalogValidator.validate(change.getCatalog());
    if (problem.isEmpty() && change.getCatalog().getVersion() > view.version()) {
      restore(change);
    }
    return problem;
  }

  /**
   * Takes a data centre out of service or returns it to service, unless another switch came first.
   *
   * @param change the data centre, whether it is out of service and the revision that the switch
   *     was made from
   * @return a problem {@code "conflict"}, or empty if the data centre is now as requested
   */
  public Optional<Problem> apply(DataCentreSwitch change) {
    requireNonNull(change, "change is null");
    DataCentreRecord current = dataCentre(change.getDataCentre());
    if (current.getOut() == change.getOut()) {
      return Optional.empty();
    }
    if (change.hasExpectedRevision() && change.getExpectedRevision() != current.getRevision()) {
      return Optional.of(
          Problem.of(
              "conflict",
              "data centre "
                  + change.getDataCentre()
                  + " was switched meanwhile, revision "
                  + current.getRevision()));
    }
    Map<String, DataCentreRecord> records = new HashMap<>(dataCentres);
    records.put(
        change.getDataCentre(),
        current.toBuilder().setOut(change.getOut()).setRevision(current.getRevision() + 1).build());
    setDataCentres(records);
    return Optional.empty();
  }

  private void setDataCentres(Map<String, DataCentreRecord> records) {
    dataCentres = Map.copyOf(records);
    Set<String> out = new HashSet<>();
    for (DataCentreRecord record : records.values()) {
      if (record.getOut()) {
        out.add(record.getDataCentre());
      }
    }
    dataCentresOut = Set.copyOf(out);
  }

  /**
   * Returns the record of a data centre.
   *
   * @param name name of the data centre
   * @return whether it is out of service and its revision, 0 if it was never switched
   */
  public DataCentreRecord dataCentre(String name) {
    DataCentreRecord record = dataCentres.get(requireNonNull(name, "name is null"));
    return record == null ? DataCentreRecord.newBuilder().setDataCentre(name).build() : record;
  }

  /**
   * Returns the records of all data centres that were ever switched, for a snapshot.
   *
   * @return the records, by name
   */
  public List<DataCentreRecord> dataCentreRecords() {
    return dataCentres.values().stream()
        .sorted(Comparator.comparing(DataCentreRecord::getDataCentre))
        .toList();
  }

  /**
   * Returns the change that introduced the current catalog.
   *
   * @return the change; its catalog has version 0 before the first change
   */
  public CatalogChange lastChange() {
    return lastChange;
  }

  /**
   * Returns the current catalog.
   *
   * @return an immutable view of it
   */
  public CatalogView view() {
    return view;
  }

  /**
   * Returns the data centres that are out of service.
   *
   * @return an immutable set of their names
   */
  public Set<String> dataCentresOut() {
    return dataCentresOut;
  }

  /**
   * Replaces the whole state with that of a snapshot.
   *
   * @param restored change that introduced the catalog
   * @param records the records of the data centres that were ever switched
   * @param out names of the data centres that are out of service; a snapshot of an earlier version
   *     contains no records
   */
  public void restore(
      CatalogChange restored, Collection<DataCentreRecord> records, Collection<String> out) {
    restore(requireNonNull(restored, "restored is null"));
    Map<String, DataCentreRecord> byName = new HashMap<>();
    for (String name : out) {
      byName.put(name, DataCentreRecord.newBuilder().setDataCentre(name).setOut(true).build());
    }
    for (DataCentreRecord record : records) {
      byName.put(record.getDataCentre(), record);
    }
    setDataCentres(byName);
  }

  private void restore(CatalogChange restored) {
    lastChange = restored;
    view = CatalogView.of(restored.getCatalog());
  }
}
