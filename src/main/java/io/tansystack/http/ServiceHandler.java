package io.tansystack.http;

import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.HttpServer.Service;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;

/** Passes complete requests to a service on the event loop's thread and sends its responses. */
final class ServiceHandler implements HttpHandler {
  private final Service service;
  private final int maxBodyBytes;
  private final boolean pathIncludesQuery;

  /** For a service whose requests have no query string. */
  ServiceHandler(Service service, int maxBodyBytes) {
    this(service, maxBodyBytes, false);
  }

  /**
   * @param maxBodyBytes longer request bodies are rejected unread
   * @param pathIncludesQuery whether the query string is passed to the service as part of the path
   */
  ServiceHandler(Service service, int maxBodyBytes, boolean pathIncludesQuery) {
    this.service = service;
    this.maxBodyBytes = maxBodyBytes;
    this.pathIncludesQuery = pathIncludesQuery;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (exchange.getRequestContentLength() > maxBodyBytes) {
      rejectBody(exchange);
      return;
    }
    exchange.setMaxEntitySize(maxBodyBytes);
    BodyReader.receive(exchange, body -> serve(exchange, body), () -> rejectBody(exchange));
  }

  private void serve(HttpServerExchange exchange, byte[] body) {
    ExchangeReply reply = new ExchangeReply(exchange);
    String method = exchange.getRequestMethod().toString();
    String path = pathIncludesQuery ? pathWithQuery(exchange) : exchange.getRequestPath();
    XnioEventLoop.runLoggingErrors(() -> service.handle(method, path, body, reply));
    if (!reply.sent) {
      exchange.dispatch(); // Keeps the exchange open until the response is sent later.
    }
  }

  private static String pathWithQuery(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    return query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
  }

  /**
   * Responds with 400 and closes the connection, which can't be reused since the rest of the body
   * is not read.
   */
  private static void rejectBody(HttpServerExchange exchange) {
    exchange.setStatusCode(400);
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    exchange.endExchange();
  }

  private static final class ExchangeReply implements Reply {
    private final HttpServerExchange exchange;
    private boolean sent;

    ExchangeReply(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void send(int status, byte[] body, int retryAfterS) {
      if (sent) {
        return;
      }
      sent = true;
      exchange.setStatusCode(status);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
      if (retryAfterS > 0) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
      }
      exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
  }
}
