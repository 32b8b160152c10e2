package io.tansystack.http;

import java.util.function.Consumer;

/** Runs callbacks of which none may be left out because another one fails. */
public final class Callbacks {
  private Callbacks() {}

  /**
   * Passes each element to the action, also after the action has thrown for an earlier one. The
   * first exception is thrown at the end, with the later ones as suppressed exceptions.
   */
  public static <T> void forEach(Iterable<T> elements, Consumer<? super T> action) {
    RuntimeException first = null;
    for (T element : elements) {
      try {
        action.accept(element);
      } catch (RuntimeException e) {
        if (first == null) {
          first = e;
        } else if (first != e) {
          first.addSuppressed(e);
        }
      }
    }
    if (first != null) {
      throw first;
    }
  }
}
