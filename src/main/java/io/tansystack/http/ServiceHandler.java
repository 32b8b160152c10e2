package io.tansystack.http;

import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.HttpServer.Service;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

/**
 * Passes complete requests to a service on the event loop's thread and sends its responses. Every
 * request is answered once: with 500 if the service throws an exception, and with 503 if it has not
 * replied in time.
 */
final class ServiceHandler implements HttpHandler {
  private static final Logger log = LoggerFactory.getLogger(ServiceHandler.class);
  private static final byte[] NO_BODY = new byte[0];

  private final Service service;
  private final int maxBodyBytes;
  private final boolean pathIncludesQuery;
  private final ServerTimeouts timeouts;

  /** For a service whose requests have no query string. */
  ServiceHandler(Service service, int maxBodyBytes, ServerTimeouts timeouts) {
    this(service, maxBodyBytes, timeouts, false);
  }

  /**
   * @param maxBodyBytes longer request bodies are rejected unread
   * @param pathIncludesQuery whether the query string is passed to the service as part of the path
   */
  ServiceHandler(
      Service service, int maxBodyBytes, ServerTimeouts timeouts, boolean pathIncludesQuery) {
    this.service = service;
    this.maxBodyBytes = maxBodyBytes;
    this.pathIncludesQuery = pathIncludesQuery;
    this.timeouts = timeouts;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (exchange.getRequestContentLength() > maxBodyBytes) {
      rejectBody(exchange);
      return;
    }
    exchange.setMaxEntitySize(maxBodyBytes);
    BodyReader.receive(
        exchange,
        timeouts.transfer(),
        body -> serve(exchange, body),
        () -> rejectBody(exchange));
  }

  private void serve(HttpServerExchange exchange, byte[] body) {
    ExchangeReply reply = new ExchangeReply(exchange, timeouts);
    String method = exchange.getRequestMethod().toString();
    String path = pathIncludesQuery ? pathWithQuery(exchange) : exchange.getRequestPath();
    try {
      service.handle(method, path, body, reply);
    } catch (RuntimeException e) {
      log.error("{} {} failed", method, path, e);
      reply.send(500, NO_BODY);
    }
    if (!reply.sent) {
      reply.startTimeout();
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
    closeAfterResponse(exchange);
    exchange.endExchange();
  }

  private static void closeAfterResponse(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
  }

  private static final class ExchangeReply implements Reply {
    private final HttpServerExchange exchange;
    private final ServerTimeouts timeouts;
    private boolean sent;
    private XnioExecutor.Key timeout;

    ExchangeReply(HttpServerExchange exchange, ServerTimeouts timeouts) {
      this.exchange = exchange;
      this.timeouts = timeouts;
    }

    /** Makes sure that the request is answered; its client has probably given up by then. */
    void startTimeout() {
      Duration delay = timeouts.reply();
      if (!delay.isZero()) {
        timeout =
            exchange
                .getIoThread()
                .executeAfter(this::onTimeout, delay.toNanos(), TimeUnit.NANOSECONDS);
      }
    }

    private void onTimeout() {
      log.warn("{} {} was not answered", exchange.getRequestMethod(), exchange.getRequestPath());
      closeAfterResponse(exchange);
      send(503, NO_BODY);
    }

    @Override
    public void send(int status, byte[] body, int retryAfterS) {
      if (sent) {
        return;
      }
      sent = true;
      if (timeout != null) {
        timeout.remove();
      }
      exchange.setStatusCode(status);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
      if (retryAfterS > 0) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
      }
      exchange.getResponseSender().send(ByteBuffer.wrap(body));
      if (!exchange.isComplete()) {
        limitTransfer();
      }
    }

    /** Closes the connection if the client doesn't read the rest of the response in time. */
    private void limitTransfer() {
      ConnectionTimeout transfer =
          ConnectionTimeout.start(exchange, timeouts.transfer(), "the reading of a response");
      exchange.addExchangeCompleteListener(
          (completed, next) -> {
            transfer.cancel();
            next.proceed();
          });
    }
  }
}
