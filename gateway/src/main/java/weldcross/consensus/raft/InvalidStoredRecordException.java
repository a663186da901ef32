package weldcross.consensus.raft;

import java.io.IOException;

/** A record of a voter's log has a valid checksum, but cannot be parsed. */
final class InvalidStoredRecordException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception for a record.
   *
   * @param record "snapshot" or "record", followed by its number
   */
  InvalidStoredRecordException(String record, IOException cause) {
    super("voter log: " + record + " is not a valid StoredRecord: " + cause.getMessage(), cause);
  }
}
