package org.hickoryspar.node.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.hickoryspar.node.settings.Settings.TokenSettings;

/** Finds whom a bearer token identifies. */
final class Credentials {

  static final String TEAM = "team";
  static final String OPERATOR = "operator";
  static final String MINION = "minion";

  private final Map<String, TokenSettings> byHash = new HashMap<>();

  Credentials(List<TokenSettings> tokens) {
    tokens.forEach(token -> byHash.put(token.sha256().toLowerCase(Locale.ROOT), token));
  }

  /** Returns the token of a request when it is known and of one of the given kinds. */
  Optional<TokenSettings> find(Request request, String... kinds) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    if (header == null || !header.regionMatches(true, 0, "Bearer ", 0, 7)) {
      return Optional.empty();
    }
    String token = header.substring(7).trim();
    String hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
    return Optional.ofNullable(byHash.get(hash)).filter(t -> List.of(kinds).contains(t.kind()));
  }
}
