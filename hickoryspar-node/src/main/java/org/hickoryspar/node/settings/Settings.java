package org.hickoryspar.node.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one instance: its location, its daemons and all instances of the cluster.
 *
 * @param cluster name of the cluster; processes of different clusters refuse each other
 * @param instanceId identifier of this instance
 * @param dataCentre data centre of this instance
 * @param region region of the data centre
 * @param entry settings of the entry daemon, null if the instance runs none
 * @param control settings of the control daemon, null if the instance runs none
 * @param instances all instances of the cluster, this one included
 * @param tokens tokens of teams, operators and minions
 * @param tracing destination of traces, null to export none
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

  /** Copies the lists; replaces a null list by an empty one. */
  public Settings {
    instances = instances == null ? List.of() : List.copyOf(instances);
    tokens = tokens == null ? List.of() : List.copyOf(tokens);
  }

  /**
   * Finds an instance by its identifier.
   *
   * @param id the identifier
   * @return the instance, or empty if it is not listed
   */
  public Optional<InstanceSettings> findInstance(String id) {
    return instances.stream().filter(instance -> instance.id().equals(id)).findFirst();
  }

  /**
   * Parses {@code host:port}, without name resolution.
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
   * @param peerAddress IP and port for the other processes of the cluster
   * @param queueLength maximum number of queued requests per service
   * @param maxRequestBodyBytes maximum size of a request body
   */
  public record EntrySettings(
      String httpAddress,
      String peerAddress,
      @JsonProperty(defaultValue = "1000") int queueLength,
      @JsonProperty(defaultValue = "16777216") long maxRequestBodyBytes) {

    /** Replaces missing numbers, which Jackson reads as 0, by their defaults. */
    public EntrySettings {
      queueLength = queueLength == 0 ? 1000 : queueLength;
      maxRequestBodyBytes = maxRequestBodyBytes == 0 ? 16_777_216 : maxRequestBodyBytes;
    }
  }

  /**
   * Settings of the control daemon.
   *
   * @param httpAddress IP and port for operators and metrics
   * @param peerAddress IP and port for the other processes of the cluster
   * @param dataFolder folder for the log and the snapshots
   * @param platformAddress IP and port of the platform's HTTP interface
   * @param scheduler registered name of the scheduler, null for the default
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
   * @param dataCentre data centre of the instance
   * @param region region of the data centre
   * @param entryPeerAddress address of its entry daemon for the other processes of the cluster,
   *     null if it runs none
   * @param controlPeerAddress address of its control replica, null if it runs none
   */
  public record InstanceSettings(
      String id,
      String dataCentre,
      String region,
      @Nullable String entryPeerAddress,
      @Nullable String controlPeerAddress) {}

  /**
   * A token and the principal that it authenticates.
   *
   * @param kind {@code "team"}, {@code "operator"} or {@code "minion"}
   * @param name name of the team, the operator or the service
   * @param sha256 SHA-256 of the token in lower-case hexadecimal digits
   */
  public record TokenSettings(String kind, String name, String sha256) {}

  /**
   * Destination of traces: a file or a collector.
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
