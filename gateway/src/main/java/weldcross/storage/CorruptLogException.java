package weldcross.storage;

import java.io.IOException;

/** A durable record or snapshot cannot be read, or is missing; the log was not changed. */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Says where the damage is.
   *
   * @param file name of the file within the log's directory
   * @param position of the damage in bytes from the file's start
   * @param reason what is wrong there
   */
  CorruptLogException(String file, long position, String reason) {
    super(file + " at byte " + position + ": " + reason);
  }
}
