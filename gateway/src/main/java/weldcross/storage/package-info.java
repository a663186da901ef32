/**
 * Durable storage: a log of records, kept in a dedicated directory, that survives process crashes
 * and power failures.
 *
 * <p>{@link weldcross.storage.RecordLog} is the log and blocks on storage; {@link
 * weldcross.storage.AsyncRecordLog} runs a log on a dedicated thread for callers that must not
 * block. Both access files only through {@link weldcross.storage.StorageDirectory}, so that storage
 * faults can be injected. See {@code docs/storage.md}.
 */
package weldcross.storage;
