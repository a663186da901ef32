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
 * Compares the record log on a real disk with a plain file that is forced after each record:
 * records per second, commit latency, and bytes written per byte of content. Also measures the time
 * to read a million records.
 */
public final class StorageMeasurements {

  private static final int RECORD_BYTES = 100;
  private static final int COMMITS = 2000;
  private static final int READ_TEST_RECORDS = 1_000_000;
  private static final int READ_TEST_RECORDS_PER_COMMIT = 1000;
  private static final long SEGMENT_BYTES = 8 << 20;

  private StorageMeasurements() {}

  /**
   * Runs all measurements and prints the results.
   *
   * @param args a directory on the disk to measure, which is deleted afterwards; by default {@code
   *     target/storage-figures}
   */
  public static void main(String[] args) throws IOException {
    Path directory =
        Files.createDirectories(Path.of(args.length > 0 ? args[0] : "target/storage-figures"));
    measurePlainFile(directory.resolve("plain"));
    for (int recordsPerCommit : new int[] {1, 16, 256}) {
      measureCommits(directory.resolve("log-" + recordsPerCommit), recordsPerCommit);
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
      Histogram latenciesMicros =
          measure(
              COMMITS,
              () -> {
                file.write(ByteBuffer.allocate(4 + RECORD_BYTES).putInt(RECORD_BYTES).rewind());
                file.force(false);
              });
      print("plain file, 1 per force", 1, latenciesMicros, file.size());
    }
  }

  private static void measureCommits(Path path, int recordsPerCommit) throws IOException {
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path);
        RecordLog log = open(directory, new RecordCounter())) {
      Histogram latenciesMicros =
          measure(
              COMMITS / Math.max(1, recordsPerCommit / 16),
              () -> {
                for (int index = 0; index < recordsPerCommit; index++) {
                  log.append(ByteBuffer.allocate(RECORD_BYTES));
                }
                log.commit();
              });
      print(
          "record log, " + recordsPerCommit + " per commit",
          recordsPerCommit,
          latenciesMicros,
          bytesIn(path));
    }
  }

  private static void measureReading(Path path) throws IOException {
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path);
        RecordLog log = open(directory, new RecordCounter())) {
      for (int index = 1; index <= READ_TEST_RECORDS; index++) {
        log.append(ByteBuffer.allocate(RECORD_BYTES).putInt(0, index));
        if (index % READ_TEST_RECORDS_PER_COMMIT == 0) {
          log.commit();
        }
      }
    }
    RecordCounter counter = new RecordCounter();
    long startNanos = System.nanoTime();
    try (StorageDirectory directory = FileStorageDirectory.openDirectory(path)) {
      RecordLog log = open(directory, counter);
      long millis = (System.nanoTime() - startNanos) / 1_000_000;
      System.out.printf(
          "%d records (%d MB) read in %d ms%n", counter.records, bytesIn(path) >> 20, millis);
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

  @FunctionalInterface
  private interface Commit {
    void run() throws IOException;
  }

  private static Histogram measure(int times, Commit commit) throws IOException {
    Histogram latenciesMicros = new Histogram(3);
    for (int index = 0; index < times; index++) {
      long startNanos = System.nanoTime();
      commit.run();
      latenciesMicros.recordValue((System.nanoTime() - startNanos) / 1000);
    }
    return latenciesMicros;
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

  private static void print(
      String name, int recordsPerCommit, Histogram latenciesMicros, long bytes) {
    double seconds = latenciesMicros.getMean() * latenciesMicros.getTotalCount() / 1e6;
    long records = latenciesMicros.getTotalCount() * recordsPerCommit;
    System.out.printf(
        "%-28s %8.0f records/s, commit median %d us, p99 %d us, "
            + "%.2f bytes written per byte of content%n",
        name,
        records / seconds,
        latenciesMicros.getValueAtPercentile(50),
        latenciesMicros.getValueAtPercentile(99),
        bytes / (records * (double) RECORD_BYTES));
  }
}
