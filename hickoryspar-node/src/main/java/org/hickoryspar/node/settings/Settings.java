package org.hickoryspar.node.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one instance: its place, its daemons and the other instances of the cluster.
 *
 * @param cluster name of the cluster; processes of different clusters refuse each other
 * @param instanceId identifier of this instance
 * @param dataCentre data centre that holds this instance
 * @param region region that holds the data centre
 * @param entry settings of the entry daemon, null when the instance runs none
 * @param control settings of the control daemon, null when the instance runs none
 * @param instances all instances of the cluster, this one included
 * @param tokens tokens of teams, operators and minions
 * @param tracing where traces go, null for nowhere
 * @param tls certificates for callers and operators, null for plain HTTP
 */
public record Settings(
    String cluster,
    String instanceId,
    String dataCentre,
    String region,
    @Nullable EntrySettings entry,
    @Nullable ControlSettings control,
    List<InstanceSettings> instances,
    List<TokenSettings> tokens,
    @Nullable TracingSettings tracing,
    @Nullable TlsSettings tls) {

  /** Copies the lists; a missing list is empty. */
  public Settings {
    instances = instances == null ? List.of() : List.copyOf(instances);
    tokens = tokens == null ? List.of() : List.copyOf(tokens);
  }

  /**
   * Finds an instance by its identifier.
   *
   * @param id the identifier
   * @return the instance, or empty when it is not listed
   */
  public Optional<InstanceSettings> findInstance(String id) {
    return instances.stream().filter(instance -> instance.id().equals(id)).findFirst();
  }

  /**
   * Splits {@code host:port} into a socket address; the host is an IP literal.
   *
   * @param address the text, for example {@code "127.0.0.1:8080"} or {@code "[::1]:8080"}
   * @return the address
   * @throws IllegalArgumentException if the text is not an IP literal with a port
   */
  public static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("expected IP:PORT, found \"" + address + "\"");
    }
    String host = address.substring(0, colon).replace("[", "").replace("]", "");
    if (!com.google.common.net.InetAddresses.isInetAddress(host)) {
      throw new IllegalArgumentException("expected an IP address, found \"" + host + "\"");
    }
    return new InetSocketAddress(
        com.google.common.net.InetAddresses.forString(host),
        Integer.parseInt(address.substring(colon + 1)));
  }

  /**
   * Settings of the entry daemon.
   *
   * @param httpAddress IP and port for callers, minions and operators
   * @param peerAddress IP and port for our own processes
   * @param queueLength most requests that wait at a time, per service
   * @param maxRequestBodyBytes largest request body that is accepted
   */
  public record EntrySettings(
      String httpAddress,
      String peerAddress,
      @JsonProperty(defaultValue = "1000") int queueLength,
      @JsonProperty(defaultValue = "16777216") long maxRequestBodyBytes) {

    /** Replaces missing numbers by their defaults. */
    public EntrySettings {
      queueLength = queueLength == 0 ? 1000 : queueLength;
      maxRequestBodyBytes = maxRequestBodyBytes == 0 ? 16_777_216 : maxRequestBodyBytes;
    }
  }

  /**
   * Settings of the control daemon.
   *
   * @param httpAddress IP and port for operators and metrics
   * @param peerAddress IP and port for our own processes
   * @param dataFolder folder for the log and the snapshots
   * @param platformAddress IP and port of the platform's HTTP interface
   * @param scheduler registered name of the scheduler
   */
  public record ControlSettings(
      String httpAddress,
      String peerAddress,
      String dataFolder,
      String platformAddress,
      @Nullable String scheduler) {}

  /**
   * One instance of the cluster.
   *
   * @param id identifier
   * @param dataCentre data centre that holds the instance
   * @param region region that holds the data centre
   * @param entryPeerAddress address of its entry for our own processes, null when it runs none
   * @param controlPeerAddress address of its control replica, null when it runs none
   */
  public record InstanceSettings(
      String id,
      String dataCentre,
      String region,
      @Nullable String entryPeerAddress,
      @Nullable String controlPeerAddress) {}

  /**
   * A token and whom it identifies.
   *
   * @param kind {@code "team"}, {@code "operator"} or {@code "minion"}
   * @param name name of the team, the operator or the service
   * @param sha256 SHA-256 of the token in lower-case hexadecimal digits
   */
  public record TokenSettings(String kind, String name, String sha256) {}

  /**
   * Where traces go.
   *
   * @param file path of a file to which spans are appended as JSON lines, or null
   * @param otlpEndpoint URL of an OTLP collector, or null
   */
  public record TracingSettings(@Nullable String file, @Nullable String otlpEndpoint) {}

  /**
   * Certificates for callers and operators.
   *
   * @param keyStoreFile path of a PKCS#12 key store
   * @param keyStorePasswordFile path of a file that holds its password
   */
  public record TlsSettings(String keyStoreFile, String keyStorePasswordFile) {}
}
