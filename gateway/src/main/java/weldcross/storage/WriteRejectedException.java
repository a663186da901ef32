package weldcross.storage;

import java.io.IOException;

/**
 * Storage did not take a commit, as when it is full. Nothing of the commit is stored, the log stays
 * open, and a later commit may succeed.
 */
public final class WriteRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  WriteRejectedException(IOException cause) {
    super("not written: " + cause.getMessage(), cause);
  }
}
