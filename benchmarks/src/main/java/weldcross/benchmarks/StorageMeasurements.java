package weldcross.benchmarks;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;

/**
 * Compares the record log on a real disk with a plain file that is forced for each record: records
 * per second, duration of a commit, bytes written per byte of content; and the time it takes to
 * read a million records.
 */
public final class StorageMeasurements {

  private static final int RECORD_BYTES = 100;
  private static final int COMMITS = 2000;
  private static final int MANY_RECORDS = 1_000_000;
  private static final int MANY_RECORDS_PER_COMMIT = 1000;
  private static final long SEGMENT_BYTES = 8 << 20;

  private StorageMeasurements() {}

  /**
   * Runs all measurements and prints their figures.
   *
   * @param args a directory on the disk to be measured, which is deleted afterwards; default {@code
   *     target/storage-figures}
   */
  public static void main(String[] args) throws IOException {
    Path directory =
        Files.createDirectories(Path.of(args.length > 0 ? args[0] : "target/storage-figures"));
    measurePlainFile(directory.resolve("plain"));
    for (int batch : new int[] {1, 16, 256}) {
      measureCommits(directory.resolve("log-" + batch), batch);
    }
    measureReading(directory.resolve("many"));
    delete(directory);
  }

  private static void measurePlainFile(Path path) throws IOException {
    try (FileChannel file =
        FileChannel.open(
            path,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      Histogram micros =
          measure(
              COMMITS,
              () -> {
                file.write(ByteBuffer.allocate(4 + RECORD_BYTES).putInt(RECORD_BYTES).rewind());
                file.force(false);
              });
      print("plain file, forced each", 1, micros, file.size());
    }
  }

  private static void measureCommits(Path path, int batch) throws IOException {
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path);
        RecordLog log = open(directory, new RecordCounter())) {
      Histogram micros =
          measure(
              COMMITS / Math.max(1, batch / 16),
              () -> {
                for (int k = 0; k < batch; k++) {
                  log.append(ByteBuffer.allocate(RECORD_BYTES));
                }
                log.commit();
              });
      print("record log, " + batch + " a commit", batch, micros, bytesIn(path));
    }
  }

  private static void measureReading(Path path) throws IOException {
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path);
        RecordLog log = open(directory, new RecordCounter())) {
      for (int k = 1; k <= MANY_RECORDS; k++) {
        log.append(ByteBuffer.allocate(RECORD_BYTES).putInt(0, k));
        if (k % MANY_RECORDS_PER_COMMIT == 0) {
          log.commit();
        }
      }
    }
    RecordCounter counter = new RecordCounter();
    long began = System.nanoTime();
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path)) {
      RecordLog log = open(directory, counter);
      long millis = (System.nanoTime() - began) / 1_000_000;
      System.out.printf(
          "%d records (%d MB) read back in %d ms%n", counter.records, bytesIn(path) >> 20, millis);
      log.close();
    }
  }

  private static RecordLog open(StorageDirectory directory, RecordCounter counter)
      throws IOException {
    return RecordLog.open(directory, SEGMENT_BYTES, counter);
  }

  private static void delete(Path directory) throws IOException {
    try (Stream<Path> paths = Files.walk(directory)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  /** Counts the records that a log holds. */
  private static final class RecordCounter implements RecordLog.Reader {
    private long records;

    @Override
    public void snapshot(long upTo, ByteBuffer content) {}

    @Override
    public void record(long number, ByteBuffer content) {
      records++;
    }
  }

  private interface Commit {
    void run() throws IOException;
  }

  private static Histogram measure(int times, Commit commit) throws IOException {
    Histogram micros = new Histogram(3);
    for (int k = 0; k < times; k++) {
      long began = System.nanoTime();
      commit.run();
      micros.recordValue((System.nanoTime() - began) / 1000);
    }
    return micros;
  }

  private static long bytesIn(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      long sum = 0;
      for (Path file : files.toList()) {
        sum += Files.size(file);
      }
      return sum;
    }
  }

  private static void print(String name, int batch, Histogram micros, long bytes) {
    double seconds = micros.getMean() * micros.getTotalCount() / 1e6;
    long records = micros.getTotalCount() * batch;
    System.out.printf(
        "%-28s %8.0f records/s, commit median %d us, p99 %d us, %.2f bytes written a byte kept%n",
        name,
        records / seconds,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        bytes / (records * (double) RECORD_BYTES));
  }
}
