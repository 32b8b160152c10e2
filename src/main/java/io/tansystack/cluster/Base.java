package io.tansystack.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.records.JobRecord;
import io.tansystack.wire.BadInput;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.Read;
import io.tansystack.wire.StoreWire.Condition;

/**
 * What the deployment counts from since the state service lost data. Tokens are revisions, and workers
 * obey the highest they have seen: where revisions start again at 0, what is added here keeps tokens
 * growing. Every transaction names this record, so those of before a loss fail once it is written.
 *
 * @param added to a revision makes a token
 * @param version of the record; 0 while there is none
 */
public record Base(long added, long version) {
  static final Base NONE = new Base(0, 0);

  static Base read(ObjectNode value, long version) throws BadInput {
    return value == null ? NONE : new Base(Read.integer(value, "added", 0, Long.MAX_VALUE / 2), version);
  }

  /** What is written under the key. */
  public static ObjectNode write(long added) {
    return Cbor.map().put("added", added);
  }

  /** A job's record as it is to be written: with this, once data was lost. */
  public ObjectNode written(JobRecord record) {
    ObjectNode value = record.write();
    return added == 0 ? value : value.put("base", added);
  }

  /** Holds while this is what the deployment counts from. */
  public Condition condition() {
    return new Condition(Keys.BASE_KEY, version);
  }
}
