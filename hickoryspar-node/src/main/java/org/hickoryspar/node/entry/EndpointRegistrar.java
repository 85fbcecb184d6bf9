package org.hickoryspar.node.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.kernel.requests.EndpointTable;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.protocol.Endpoint;
import org.hickoryspar.protocol.EndpointDigest;
import org.hickoryspar.protocol.EndpointSpread;
import org.hickoryspar.protocol.Envelope;

/** Registers the endpoints that minions announce and propagates them to the other entries. */
final class EndpointRegistrar {

  private final EndpointTable table;
  private final PeerLink peers;
  private final List<String> peerIds;
  private final LongSupplier monotonicMillis;
  private final Runnable onChange;
  private int nextPeerIndex;

  EndpointRegistrar(
      Settings settings,
      EndpointTable table,
      PeerLink peers,
      LongSupplier monotonicMillis,
      Runnable onChange) {
    this.table = table;
    this.peers = peers;
    this.monotonicMillis = monotonicMillis;
    this.onChange = onChange;
    this.peerIds =
        settings.instances().stream()
            .filter(
                instance ->
                    instance.entryPeerAddress() != null
                        && !instance.id().equals(settings.instanceId()))
            .map(Settings.InstanceSettings::id)
            .toList();
  }

  /** Handles an announcement or a leave of a minion with a token for {@code tokenService}. */
  void handleAnnouncement(
      String tokenService, boolean leaving, byte[] body, Response response, Callback callback) {
    Endpoint endpoint;
    try {
      endpoint = parseEndpoint(Responses.MAPPER.readTree(body), leaving);
    } catch (IOException | IllegalArgumentException e) {
      Responses.sendError(
          response, callback, 400, "not-run", "malformed", String.valueOf(e.getMessage()));
      return;
    }
    if (!endpoint.getService().equals(tokenService)) {
      Responses.sendError(
          response, callback, 401, "not-run", "wrong-service", "the token is for another service");
      return;
    }
    boolean changed = table.apply(endpoint, monotonicMillis.getAsLong());
    if (changed) {
      peers.broadcast(newSpreadMessage(List.of(endpoint)));
      onChange.run();
    }
    Responses.sendJson(
        response,
        callback,
        200,
        Responses.toBytes(Responses.MAPPER.createObjectNode().put("accepted", changed)));
  }

  /** Handles a message from another entry. */
  void receive(String fromInstance, Envelope message) {
    long nowMillis = monotonicMillis.getAsLong();
    switch (message.getPayloadCase()) {
      case ENDPOINT_SPREAD -> {
        boolean changed = false;
        for (Endpoint endpoint : message.getEndpointSpread().getEndpointsList()) {
          changed |= table.apply(endpoint, nowMillis);
        }
        if (changed) {
          onChange.run();
        }
      }
      case ENDPOINT_DIGEST -> {
        List<Endpoint> newer =
            table.newerThan(message.getEndpointDigest().getVersionsList(), nowMillis);
        if (!newer.isEmpty()) {
          peers.send(fromInstance, newSpreadMessage(newer));
        }
      }
      default ->
          EventLogger.log(EntryEvent.UNKNOWN_MESSAGE, message.getPayloadCase(), fromInstance);
    }
  }

  /**
   * Removes expired endpoints and sends a digest to one other entry, in round-robin order.
   *
   * <p>Called once a second. Sending a single digest, rather than one to each entry, keeps the
   * traffic on the slow link independent of the number of entries.
   */
  synchronized void tick() {
    long nowMillis = monotonicMillis.getAsLong();
    if (table.removeExpired(nowMillis) > 0) {
      onChange.run();
    }
    if (!peerIds.isEmpty()) {
      nextPeerIndex = (nextPeerIndex + 1) % peerIds.size();
      EndpointDigest digest =
          EndpointDigest.newBuilder().addAllVersions(table.digest(nowMillis)).build();
      peers.send(
          peerIds.get(nextPeerIndex), Envelope.newBuilder().setEndpointDigest(digest).build());
    }
  }

  private static Envelope newSpreadMessage(List<Endpoint> endpoints) {
    return Envelope.newBuilder()
        .setEndpointSpread(EndpointSpread.newBuilder().addAllEndpoints(endpoints))
        .build();
  }

  private static Endpoint parseEndpoint(JsonNode json, boolean leaving) {
    Endpoint.Builder endpoint =
        Endpoint.newBuilder()
            .setService(requireText(json, "service"))
            .setMinionId(requireText(json, "minionId"))
            .setIncarnation(requireNumber(json, "incarnation", Long.MAX_VALUE))
            .setSequence(requireNumber(json, "sequence", Long.MAX_VALUE))
            .setLeaving(leaving);
    if (!leaving) {
      String address = requireText(json, "address");
      Settings.socketAddress(address);
      endpoint
          .setAddress(address)
          .setDataCentre(requireText(json, "dataCentre"))
          .setSlots((int) requireNumber(json, "slots", 1_000))
          .setConnections((int) requireNumber(json, "connections", 10_000))
          .setTtlMillis((int) requireNumber(json, "ttlMillis", EndpointTable.MAX_TTL_MILLIS));
    }
    return endpoint.build();
  }

  private static String requireText(JsonNode json, String member) {
    JsonNode value = json.path(member);
    if (!value.isTextual() || value.textValue().isEmpty() || value.textValue().length() > 200) {
      throw new IllegalArgumentException(
          "member " + member + " must be a string of 1 to 200 characters");
    }
    return value.textValue();
  }

  private static long requireNumber(JsonNode json, String member, long max) {
    JsonNode value = json.path(member);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.longValue() < 0
        || value.longValue() > max) {
      throw new IllegalArgumentException(
          "member " + member + " must be an integer from 0 to " + max);
    }
    return value.longValue();
  }
}
