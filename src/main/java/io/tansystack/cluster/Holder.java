package io.tansystack.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;

/** Who schedules a slot's jobs, or holds the fleet duty. */
public record Holder(String label, String boot, long version) {

  /** Null for none. */
  static Holder read(ObjectNode value, long version) throws BadInput {
    return value == null
        ? null
        : new Holder(Read.text(value, "label"), Read.text(value, "boot"), version);
  }

  /** What is written under the key. */
  public static ObjectNode write(String label, String boot) {
    return Cbor.map().put("label", label).put("boot", boot);
  }
}
