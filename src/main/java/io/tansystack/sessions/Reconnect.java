package io.tansystack.sessions;

import io.tansystack.sessions.SessionRecord.Return;
import io.tansystack.store.StoreClient.Result;

/**
 * What a controller does for an owner who comes back, whichever state a reclaim is in. It ends in one of
 * two answers, and the record says the same to whoever asks: the one who resumes and the one who
 * reclaims write on the same version. A write without an answer is never taken for either.
 */
public final class Reconnect {
  private Reconnect() {}

  /** What to do next. */
  public enum Next {
    /** Read the record, from the state service itself. */
    READ,
    /** Write {@link Move#write} on the condition that the record has the version that was read. */
    WRITE,
    /** Tell the owner that the session is theirs. */
    BACK,
    /** Tell the owner that it is over, why, and where its saved state is. */
    OVER
  }

  /** @param write for {@code WRITE}, else null */
  public record Move(Next next, SessionRecord write) {}

  private static final Move READ = new Move(Next.READ, null);

  public static Move start() {
    return READ;
  }

  public static Move read(SessionRecord record) {
    Return what = record.onReturn();
    return switch (what) {
      case BACK -> new Move(Next.BACK, null);
      case RESUME -> new Move(Next.WRITE, record.resumed());
      case OVER -> new Move(Next.OVER, null);
    };
  }

  /** Only a write that is known to have been applied gives the session back; all else is read again. */
  public static Move written(Result result) {
    return result == Result.DONE ? new Move(Next.BACK, null) : READ;
  }
}
