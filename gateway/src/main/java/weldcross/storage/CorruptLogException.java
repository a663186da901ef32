package weldcross.storage;

import java.io.IOException;

/** Thrown if a durable record or snapshot is unreadable or missing; the log is not modified. */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for one position in a file.
   *
   * @param file name of the file within the log's directory
   * @param position byte offset of the damage in the file
   * @param reason description of the damage
   */
  CorruptLogException(String file, long position, String reason) {
    super(file + " at byte " + position + ": " + reason);
  }
}
