package weldcross.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Chooses which of the readable sessions one pass over the sockets reads. Of clients whose queries
 * are being refused for lack of memory only a few are read in each pass, those first that have
 * waited longest, so that the others do not wait for all that these have sent. The rest stays
 * readable and is selected again. Used by the thread that reads.
 *
 * @param <S> type of the sessions
 */
final class BulkReadLimiter<S> {

  /** Maximum number of clients read in one pass whose queries are being refused. */
  static final int MAX_BULK_READS = 8;

  private record BulkSession<S>(S session, ClientStream stream) {}

  private final Function<S, Stream> streamOf;
  private final Predicate<S> isReadable;
  private long pass;

  /**
   * Creates a limiter.
   *
   * @param streamOf returns the stream of a session; null if it has none
   * @param isReadable whether a selected session has input, rather than room for output only
   */
  BulkReadLimiter(Function<S, Stream> streamOf, Predicate<S> isReadable) {
    this.streamOf = streamOf;
    this.isReadable = isReadable;
  }

  /** Returns the number of the current or last pass, counted from 1. */
  long pass() {
    return pass;
  }

  /** Removes all sessions from the given iterator; returns those to process in this pass. */
  Iterator<S> choose(Iterator<S> selected) {
    pass++;
    List<S> chosen = new ArrayList<>();
    List<BulkSession<S>> bulk = new ArrayList<>();
    while (selected.hasNext()) {
      S session = selected.next();
      selected.remove();
      ClientStream stream = streamOf.apply(session) instanceof ClientStream client ? client : null;
      if (stream != null && isReadable.test(session)) {
        stream.readableIn(pass);
      }
      if (stream != null && stream.isRefusing()) {
        bulk.add(new BulkSession<>(session, stream));
      } else {
        chosen.add(session);
      }
    }
    if (!bulk.isEmpty()) {
      addLongestWaiting(bulk, chosen);
    }
    return chosen.iterator();
  }

  private void addLongestWaiting(List<BulkSession<S>> bulk, List<S> chosen) {
    bulk.sort(Comparator.comparingLong(entry -> entry.stream.lastTurn()));
    int reads = 0;
    for (BulkSession<S> entry : bulk) {
      if (reads < MAX_BULK_READS) {
        entry.stream.takeTurn(pass);
        chosen.add(entry.session);
        reads++;
      } else {
        entry.stream.defer();
      }
    }
  }
}
