package io.tansystack.http;

import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.HttpServer.Service;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;

/** Hands whole requests to a service on the loop's thread, and its answers back. */
final class ServiceHandler implements HttpHandler {
  private final Service service;
  private final int maxBody;
  private final boolean withQuery;

  /** For a service that takes no parameters in its paths. */
  ServiceHandler(Service service, int maxBody) {
    this(service, maxBody, false);
  }

  /**
   * @param maxBody a request body may be at most this long; a longer one is refused unread
   * @param withQuery whether the service is told the parameters as a part of the path
   */
  ServiceHandler(Service service, int maxBody, boolean withQuery) {
    this.service = service;
    this.maxBody = maxBody;
    this.withQuery = withQuery;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (exchange.getRequestContentLength() > maxBody) {
      refuseLarge(exchange);
      return;
    }
    exchange.setMaxEntitySize(maxBody);
    BodyReader.receive(exchange, body -> serve(exchange, body), () -> refuseLarge(exchange));
  }

  private void serve(HttpServerExchange exchange, byte[] body) {
    Answer answer = new Answer(exchange);
    String method = exchange.getRequestMethod().toString();
    String path = withQuery ? pathWithQuery(exchange) : exchange.getRequestPath();
    XnioEventLoop.guarded(() -> service.handle(method, path, body, answer));
    if (!answer.sent) {
      exchange.dispatch(); // The answer comes later; until then the exchange stays open.
    }
  }

  private static String pathWithQuery(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    return query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
  }

  /** The rest of the body is not read, so the connection can't be used again. */
  private static void refuseLarge(HttpServerExchange exchange) {
    exchange.setStatusCode(400);
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    exchange.endExchange();
  }

  private static final class Answer implements Reply {
    private final HttpServerExchange exchange;
    private boolean sent;

    Answer(HttpServerExchange exchange) {
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
