package io.tansystack.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ActivityMarksTest {
  private static ActivityMarks marks(String spans, int keep) {
    ActivityMarks marks = ActivityMarks.none();
    for (char span : spans.toCharArray()) {
      BitSet active = new BitSet();
      active.set(7, span == '1');
      marks = marks.with(active, keep);
    }
    return marks;
  }

  /** Spans from the oldest on: 1 active, 0 not. */
  @ParameterizedTest
  @CsvSource({
    "'',0,0", "1,0,0", "0,0,1", "100,0,2", "0000,2,2",
    "0000,4,0", "100000,0,4", "0000001,0,0"
  })
  void idleTimeSurvivesInThem(String spans, long opened, int idle) throws Exception {
    ActivityMarks marks = marks(spans, 4);
    assertEquals(idle, marks.idleSpans(7, opened));
    ActivityMarks read = ActivityMarks.read(Cbor.decodeMap(Cbor.encode(marks.write())));
    assertEquals(marks, read);
    assertEquals(idle, read.idleSpans(7, opened));
  }

  @Test
  void thousandsOfSessionsFitIntoOneValue() {
    BitSet all = new BitSet();
    all.set(0, 10_000 / 12);
    ActivityMarks marks = ActivityMarks.none();
    for (int i = 0; i < 100; i++) {
      marks = marks.with(all, 64);
    }
    int size = Cbor.jsonSize(marks.write());
    assertTrue(size < 16 * 1024, size + " bytes");
    assertEquals(64, marks.spans().size());
    assertEquals(100, marks.newest());
  }

  @Test
  void whatIsNoRecordIsRefused() {
    assertThrows(BadInput.class, () -> ActivityMarks.read(Cbor.map().put("newest", 3)));
    assertThrows(
        BadInput.class,
        () -> {
          var map = Cbor.map().put("newest", 3);
          map.putArray("spans").add("*");
          ActivityMarks.read(map);
        });
  }
}
