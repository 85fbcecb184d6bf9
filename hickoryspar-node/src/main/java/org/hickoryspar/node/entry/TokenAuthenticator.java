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

/** Authenticates requests by bearer tokens, of which the settings hold only the SHA-256 hash. */
final class TokenAuthenticator {

  static final String TEAM = "team";
  static final String OPERATOR = "operator";
  static final String MINION = "minion";

  private final Map<String, TokenSettings> tokensByHash = new HashMap<>();

  TokenAuthenticator(List<TokenSettings> tokens) {
    tokens.forEach(token -> tokensByHash.put(token.sha256().toLowerCase(Locale.ROOT), token));
  }

  /** Returns the token of a request if it is known and of one of the allowed kinds. */
  Optional<TokenSettings> authenticate(Request request, String... allowedKinds) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    if (header == null || !header.regionMatches(true, 0, "Bearer ", 0, 7)) {
      return Optional.empty();
    }
    String token = header.substring(7).trim();
    String hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
    return Optional.ofNullable(tokensByHash.get(hash))
        .filter(candidate -> List.of(allowedKinds).contains(candidate.kind()));
  }
}
