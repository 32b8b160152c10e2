package io.tansystack.sessions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Which of a slot's sessions had activity in the last spans, so that idle time survives a change of
 * holder: one record a slot and span, however many sessions beat. Spans are of counted time ({@link
 * CoverageClock}): what nobody could hear doesn't lengthen them.
 *
 * @param newest the number of the newest span; they are numbered without gaps
 * @param spans the newest first
 */
public record ActivityMarks(long newest, List<BitSet> spans) {

  public static ActivityMarks none() {
    return new ActivityMarks(0, List.of());
  }

  /**
   * With one span more.
   *
   * @param active the sessions that had activity in it, by index
   * @param keep so many spans are kept
   */
  public ActivityMarks with(BitSet active, int keep) {
    List<BitSet> next = new ArrayList<>();
    next.add((BitSet) active.clone());
    for (int i = 0; i < spans.size() && next.size() < keep; i++) {
      next.add(spans.get(i));
    }
    return new ActivityMarks(newest + 1, next);
  }

  /**
   * How many spans have gone by since the session's last activity, as far as is kept. Spans of before its
   * opening don't count.
   */
  public int idleSpans(int index, long openedSpan) {
    int idle = 0;
    for (int i = 0; i < spans.size() && newest - i > openedSpan; i++) {
      if (spans.get(i).get(index)) {
        return idle;
      }
      idle++;
    }
    return idle;
  }

  public static ActivityMarks read(ObjectNode map) throws BadInput {
    List<BitSet> spans = new ArrayList<>();
    for (JsonNode node : Read.list(map, "spans")) {
      try {
        spans.add(BitSet.valueOf(node.binaryValue()));
      } catch (IOException e) {
        throw new BadInput("spans: not bits");
      }
    }
    return new ActivityMarks(Read.integer(map, "newest"), spans);
  }

  /** As text (base64), so that its size is that in which the state service states its limit. */
  public ObjectNode write() {
    ObjectNode map = Cbor.map().put("newest", newest);
    ArrayNode list = map.putArray("spans");
    for (BitSet active : spans) {
      list.add(list.binaryNode(active.toByteArray()).asText());
    }
    return map;
  }
}
