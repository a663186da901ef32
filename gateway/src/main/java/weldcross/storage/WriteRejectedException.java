package weldcross.storage;

import java.io.IOException;

/**
 * Thrown if storage rejected a commit, for example because it is full. Nothing of the commit is
 * stored, the log stays open, and a later commit may succeed.
 */
public final class WriteRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  WriteRejectedException(IOException cause) {
    super("commit rejected, nothing stored: " + cause.getMessage(), cause);
  }
}
