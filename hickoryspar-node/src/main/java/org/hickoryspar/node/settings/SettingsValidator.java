package org.hickoryspar.node.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.node.settings.Settings.InstanceSettings;
import org.hickoryspar.node.settings.Settings.TokenSettings;
import org.jspecify.annotations.Nullable;

/** Checks what a schema cannot express: addresses, references between members, and files. */
final class SettingsValidator {

  private static final int MAX_PORT = 65_535;

  private final Settings settings;
  private final List<String> violations = new ArrayList<>();

  private SettingsValidator(Settings settings) {
    this.settings = settings;
  }

  /**
   * Validates settings that conform to the schema.
   *
   * @param settings the settings
   * @return one line per violation with its JSON path and the expected value, empty if there is
   *     none
   */
  static List<String> validate(Settings settings) {
    SettingsValidator validator = new SettingsValidator(settings);
    validator.checkAddresses();
    validator.checkInstances();
    validator.checkOwnInstance();
    validator.checkTokens();
    validator.checkFiles();
    return validator.violations;
  }

  private void expect(boolean valid, String path, String expected, @Nullable Object found) {
    if (!valid) {
      violations.add(
          path + ": expected " + expected + ", found " + (found == null ? "nothing" : found));
    }
  }

  private void checkAddresses() {
    Map<String, String> listenAddresses = new HashMap<>();
    if (settings.entry() != null) {
      checkListenAddress("$.entry.httpAddress", settings.entry().httpAddress(), listenAddresses);
      checkListenAddress("$.entry.peerAddress", settings.entry().peerAddress(), listenAddresses);
    }
    if (settings.control() != null) {
      checkListenAddress(
          "$.control.httpAddress", settings.control().httpAddress(), listenAddresses);
      checkListenAddress(
          "$.control.peerAddress", settings.control().peerAddress(), listenAddresses);
      checkAddress("$.control.platformAddress", settings.control().platformAddress());
    }
    for (int i = 0; i < settings.instances().size(); i++) {
      InstanceSettings instance = settings.instances().get(i);
      String path = "$.instances[" + i + "]";
      checkAddress(path + ".entryPeerAddress", instance.entryPeerAddress());
      checkAddress(path + ".controlPeerAddress", instance.controlPeerAddress());
    }
  }

  private void checkListenAddress(
      String path, String address, Map<String, String> listenAddresses) {
    checkAddress(path, address);
    String otherPath = listenAddresses.putIfAbsent(address, path);
    expect(otherPath == null, path, "an address other than that of " + otherPath, address);
  }

  private void checkAddress(String path, @Nullable String address) {
    if (address == null) {
      return;
    }
    try {
      int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
      expect(port >= 1 && port <= MAX_PORT, path, "a port from 1 to " + MAX_PORT, port);
      if (port <= MAX_PORT) {
        Settings.socketAddress(address);
      }
    } catch (IllegalArgumentException e) {
      violations.add(path + ": " + e.getMessage());
    }
  }

  private void checkInstances() {
    Set<String> ids = new HashSet<>();
    Map<String, String> regions = new HashMap<>();
    boolean hasControlReplica = false;
    for (int i = 0; i < settings.instances().size(); i++) {
      InstanceSettings instance = settings.instances().get(i);
      String path = "$.instances[" + i + "]";
      expect(ids.add(instance.id()), path + ".id", "a unique identifier", instance.id());
      String region = regions.putIfAbsent(instance.dataCentre(), instance.region());
      expect(
          region == null || region.equals(instance.region()),
          path + ".region",
          "the region of the other instances in " + instance.dataCentre() + ", " + region,
          instance.region());
      hasControlReplica |= instance.controlPeerAddress() != null;
    }
    expect(hasControlReplica, "$.instances", "an instance with a controlPeerAddress", null);
  }

  private void checkOwnInstance() {
    InstanceSettings own = settings.findInstance(settings.instanceId()).orElse(null);
    expect(own != null, "$.instanceId", "an instance listed in $.instances", settings.instanceId());
    if (own == null) {
      return;
    }
    String listedValue = "the value listed in $.instances, ";
    expect(
        own.dataCentre().equals(settings.dataCentre()),
        "$.dataCentre",
        listedValue + own.dataCentre(),
        settings.dataCentre());
    expect(
        own.region().equals(settings.region()),
        "$.region",
        listedValue + own.region(),
        settings.region());
    checkPeerAddress(
        "$.entry.peerAddress",
        settings.entry() == null ? null : settings.entry().peerAddress(),
        own.entryPeerAddress());
    checkPeerAddress(
        "$.control.peerAddress",
        settings.control() == null ? null : settings.control().peerAddress(),
        own.controlPeerAddress());
  }

  private void checkPeerAddress(String path, @Nullable String own, @Nullable String listed) {
    if (own != null) {
      expect(
          own.equals(listed),
          path,
          "the address listed for this instance in $.instances, "
              + (listed == null ? "which has none" : listed),
          own);
    }
  }

  private void checkTokens() {
    Map<String, Integer> hashes = new HashMap<>();
    for (int i = 0; i < settings.tokens().size(); i++) {
      TokenSettings token = settings.tokens().get(i);
      Integer otherIndex = hashes.putIfAbsent(token.sha256(), i);
      expect(
          otherIndex == null,
          "$.tokens[" + i + "].sha256",
          "a token other than that of $.tokens[" + otherIndex + "]",
          token.sha256());
    }
  }

  private void checkFiles() {
    if (settings.tls() != null) {
      checkReadable("$.tls.keyStoreFile", settings.tls().keyStoreFile());
      checkReadable("$.tls.keyStorePasswordFile", settings.tls().keyStorePasswordFile());
    }
  }

  private void checkReadable(String path, String file) {
    expect(
        Files.isRegularFile(Path.of(file)) && Files.isReadable(Path.of(file)),
        path,
        "a readable file",
        file);
  }
}
