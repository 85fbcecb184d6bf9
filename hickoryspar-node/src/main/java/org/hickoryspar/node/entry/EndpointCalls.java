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

/** Takes announcements from minions and propagates them to the other entries. */
final class EndpointCalls {

  private final EndpointTable table;
  private final PeerLink peers;
  private final List<String> peerIds;
  private final LongSupplier monotonicMillis;
  private final Runnable onChange;
  private int nextPeer;

  EndpointCalls(
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
            .filter(i -> i.entryPeerAddress() != null && !i.id().equals(settings.instanceId()))
            .map(Settings.InstanceSettings::id)
            .toList();
  }

  /** Serves an announcement or a leave; the token names the service that the minion may serve. */
  void serve(String tokenService, boolean leaving, byte[] body, Response response, Callback done) {
    Endpoint endpoint;
    try {
      endpoint = parse(Replies.MAPPER.readTree(body), leaving);
    } catch (IOException | IllegalArgumentException e) {
      Replies.error(response, done, 400, "not-run", "malformed", String.valueOf(e.getMessage()));
      return;
    }
    if (!endpoint.getService().equals(tokenService)) {
      Replies.error(response, done, 401, "not-run", "wrong-service", "token of another service");
      return;
    }
    boolean changed = table.apply(endpoint, monotonicMillis.getAsLong());
    if (changed) {
      peers.broadcast(spread(List.of(endpoint)));
      onChange.run();
    }
    Replies.json(
        response,
        done,
        200,
        Replies.bytes(Replies.MAPPER.createObjectNode().put("accepted", changed)));
  }

  /** Takes a message from another entry. */
  void receive(String fromInstance, Envelope message) {
    long now = monotonicMillis.getAsLong();
    switch (message.getPayloadCase()) {
      case ENDPOINT_SPREAD -> {
        boolean changed = false;
        for (Endpoint endpoint : message.getEndpointSpread().getEndpointsList()) {
          changed |= table.apply(endpoint, now);
        }
        if (changed) {
          onChange.run();
        }
      }
      case ENDPOINT_DIGEST -> {
        List<Endpoint> newer = table.newerThan(message.getEndpointDigest().getVersionsList(), now);
        if (!newer.isEmpty()) {
          peers.send(fromInstance, spread(newer));
        }
      }
      default ->
          EventLogger.log(EntryEvent.UNKNOWN_MESSAGE, message.getPayloadCase(), fromInstance);
    }
  }

  /**
   * Removes what has expired and sends a digest to one other entry, in turn.
   *
   * <p>One digest a second instead of one to each entry keeps the volume on the slow link constant
   * as entries are added.
   */
  synchronized void tick() {
    long now = monotonicMillis.getAsLong();
    if (table.removeExpired(now) > 0) {
      onChange.run();
    }
    if (!peerIds.isEmpty()) {
      nextPeer = (nextPeer + 1) % peerIds.size();
      EndpointDigest digest = EndpointDigest.newBuilder().addAllVersions(table.digest(now)).build();
      peers.send(peerIds.get(nextPeer), Envelope.newBuilder().setEndpointDigest(digest).build());
    }
  }

  private static Envelope spread(List<Endpoint> endpoints) {
    return Envelope.newBuilder()
        .setEndpointSpread(EndpointSpread.newBuilder().addAllEndpoints(endpoints))
        .build();
  }

  private static Endpoint parse(JsonNode json, boolean leaving) {
    Endpoint.Builder made =
        Endpoint.newBuilder()
            .setService(text(json, "service"))
            .setMinionId(text(json, "minionId"))
            .setIncarnation(number(json, "incarnation", Long.MAX_VALUE))
            .setSequence(number(json, "sequence", Long.MAX_VALUE))
            .setLeaving(leaving);
    if (!leaving) {
      String address = text(json, "address");
      Settings.socketAddress(address);
      made.setAddress(address)
          .setDataCentre(text(json, "dataCentre"))
          .setSlots((int) number(json, "slots", 1_000))
          .setConnections((int) number(json, "connections", 10_000))
          .setTtlMillis((int) number(json, "ttlMillis", EndpointTable.MAX_TTL_MILLIS));
    }
    return made.build();
  }

  private static String text(JsonNode json, String member) {
    JsonNode value = json.path(member);
    if (!value.isTextual() || value.textValue().isEmpty() || value.textValue().length() > 200) {
      throw new IllegalArgumentException("member " + member + " must be a text of 1 to 200 chars");
    }
    return value.textValue();
  }

  private static long number(JsonNode json, String member, long most) {
    JsonNode value = json.path(member);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.longValue() < 0
        || value.longValue() > most) {
      throw new IllegalArgumentException("member " + member + " must be from 0 to " + most);
    }
    return value.longValue();
  }
}
