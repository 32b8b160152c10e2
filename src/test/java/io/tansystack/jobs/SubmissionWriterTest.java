package io.tansystack.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.http.HttpClient;
import io.tansystack.records.JobRecord;
import io.tansystack.settings.PlatformSettings;
import io.tansystack.settings.SettingsTest;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.store.RateBudget;
import io.tansystack.store.StoreClient.CommitResult;
import io.tansystack.store.StoreClient;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.Priority;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against one submission that takes the others of its batch with it. */
class SubmissionWriterTest {
  private final SimEventLoop loop = new SimEventLoop();
  private final Map<String, CommitResult> results = new TreeMap<>();

  /** A state service that rejects every transaction about wk-2. */
  private final HttpClient httpClient =
      (to, method, path, body, timeout, handler) -> {
        boolean rejected = new String(body, StandardCharsets.ISO_8859_1).contains("wk-2");
        loop.after(
            Duration.ofMillis(5),
            () ->
                handler.onResponse(
                    rejected ? 400 : 200, Cbor.encode(Cbor.map().put("Ledger", 9))));
      };

  @Test
  void rejectedBatchIsWrittenIndividually() throws Exception {
    StoreClient store =
        new StoreClient(
            httpClient,
            loop,
            new InetSocketAddress("127.0.0.1", 9),
            new RateBudget(100, 100, loop.now()),
            new Random(1));
    SubmissionWriter writer =
        new SubmissionWriter(loop, store, PlatformSettings.parse(SettingsTest.VALID), "test");
    for (int i = 1; i <= 3; i++) {
      String id = "wk-" + i;
      writer.accept(JobRecord.created(spec(id), 0), result -> results.put(id, result));
    }
    loop.runFor(Duration.ofSeconds(1));
    assertEquals(
        Map.of(
            "wk-1", CommitResult.DONE, "wk-2", CommitResult.MALFORMED, "wk-3", CommitResult.DONE),
        results);
  }

  private static JobSpec spec(String id) {
    return new JobSpec(
        id, "c", "vision", JobKind.ARRAY, Priority.NORMAL, 1, 1, 0, 1, "img", 1, null, null,
        false, false, false, 20, 0, 0, null);
  }
}
