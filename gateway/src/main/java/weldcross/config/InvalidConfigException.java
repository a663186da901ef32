package weldcross.config;

/** A value told at the start that cannot be used; the message names its key as written. */
public final class InvalidConfigException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public InvalidConfigException(String key, String found, String allowed) {
    super(key + ": found " + found + ", allowed is " + allowed);
  }

  InvalidConfigException(String message) {
    super(message);
  }
}
