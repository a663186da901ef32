package weldcross.consensus.net;

import java.io.IOException;
import java.time.Duration;
import java.util.logging.Level;
import weldcross.consensus.Motion;
import weldcross.consensus.Verdict;
import weldcross.consensus.View;
import weldcross.consensus.wire.Word;
import weldcross.mesh.PeerName;
import weldcross.storage.Disk;

/**
 * What {@link Agreement} needs of its gateway. Where not said otherwise called on the gateway's
 * thread.
 */
public interface AgreementHost {

  Duration now();

  /** Sends it to another gateway; it may be lost. */
  void send(PeerName to, Word word);

  /** From the voter's thread: has this run on the gateway's. */
  void post(Runnable event);

  /** Asks to be called then; only the time asked for last counts. */
  void wakeAt(Duration when);

  /** On the voter's thread: the directory of the voter alone. */
  Disk disk() throws IOException;

  /** As {@link weldcross.consensus.AgreedHost#viewIs}. */
  void viewIs(View view);

  /** As {@link weldcross.consensus.AgreedHost#shareIs}. */
  void shareIs(double share);

  /** As {@link weldcross.consensus.AgreedHost#ended}. */
  void ended(long life);

  /** As {@link weldcross.consensus.AgreedHost#operatorTold}. */
  void operatorTold(Motion motion, Verdict verdict);

  /** As {@link weldcross.consensus.AgreedHost#left}. */
  void left();

  /** From any thread. */
  void say(Level level, String words);
}
