package weldcross.consensus.raft;

import java.io.IOException;

/** A record of a voter's log has an intact checksum, but is no {@code StoredRecord}. */
final class InvalidStoredRecordException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Names the record.
   *
   * @param record "snapshot" or "record", and its number
   */
  InvalidStoredRecordException(String record, IOException cause) {
    super("voter log, " + record + " is no StoredRecord: " + cause.getMessage(), cause);
  }
}
