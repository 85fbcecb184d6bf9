import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking HTTP/1.1 client that uses one connection for each request and closes it after. */
final class Http {

  /**
   * Result of a request.
   *
   * @param status status of the response, 0 if there was no complete response in time
   */
  record Answer(int status, String body) {
    boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  private Http() {}

  static Answer send(
      InetSocketAddress address,
      String method,
      String path,
      String host,
      String headers,
      String body,
      int timeoutMillis) {
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(address, timeoutMillis);
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n" + headers
              + (content.length > 0 ? "Content-Type: application/json\r\n" : "")
              + "Content-Length: " + content.length + "\r\n\r\n";
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(head.getBytes(StandardCharsets.UTF_8));
      out.writeBytes(content);
      socket.getOutputStream().write(out.toByteArray());
      socket.getOutputStream().flush();
      ByteArrayOutputStream in = new ByteArrayOutputStream();
      InputStream input = socket.getInputStream();
      byte[] buffer = new byte[65_536];
      while (true) {
        long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
          return new Answer(0, "no response in time");
        }
        socket.setSoTimeout((int) leftMillis);
        int count = input.read(buffer);
        if (count < 0) {
          break;
        }
        in.write(buffer, 0, count);
      }
      return parse(in.toString(StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Answer(0, e.toString());
    }
  }

  private static Answer parse(String text) {
    int headEnd = text.indexOf("\r\n\r\n");
    if (!text.startsWith("HTTP/1.1 ") || headEnd < 0) {
      return new Answer(0, "incomplete response");
    }
    return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(headEnd + 4));
  }

  /** Sends a request and closes the connection without waiting for the response. */
  static void sendAndClose(InetSocketAddress address, String method, String path) {
    try (Socket socket = new Socket()) {
      socket.connect(address, 1_000);
      String head =
          method + ' ' + path + " HTTP/1.1\r\nHost: " + address.getHostString()
              + "\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
    } catch (IOException e) {
      // The process at the address is down.
    }
  }
}
