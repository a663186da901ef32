/**
 * Durable records: a log of records in a directory of its own, which survives the loss of the
 * process and of power.
 *
 * <p>{@link weldcross.storage.RecordLog} is the log, used by one thread that may wait; {@link
 * weldcross.storage.AsyncRecordLog} runs one on a thread of its own for callers that must not wait.
 * Both access files through {@link weldcross.storage.StorageDirectory} only, so that faults of
 * storage can be injected. See {@code docs/storage.md}.
 */
package weldcross.storage;
