package weldcross.benchmarks;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import weldcross.storage.FileStorageDirectory;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;

/**
 * The record log on a real disk beside a plain file that is forced for each record: records a
 * second, how long one is not sure, bytes written for each byte kept; and how long it takes to read
 * a million records back. The argument is a directory on the disk to be measured.
 */
public final class StorageMeasurements {

  private static final int RECORD = 100, COMMITS = 2000, MANY = 1_000_000;

  private StorageMeasurements() {}

  public static void main(String[] args) throws IOException {
    Path directory =
        Files.createDirectories(Path.of(args.length > 0 ? args[0] : "target/storage-figures"));
    Path plain = directory.resolve("plain");
    try (FileChannel file =
        FileChannel.open(
            plain,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      tell(
          "plain file, forced each",
          1,
          time(
              COMMITS,
              () -> {
                file.write(ByteBuffer.allocate(4 + RECORD).putInt(RECORD).rewind());
                file.force(false);
              }),
          file.size());
    }
    for (int batch : new int[] {1, 16, 256}) {
      Path place = directory.resolve("log-" + batch);
      try (StorageDirectory disk = FileStorageDirectory.at(place);
          RecordLog log = open(disk, new long[1])) {
        Histogram times =
            time(
                COMMITS / Math.max(1, batch / 16),
                () -> {
                  for (int k = 0; k < batch; k++) {
                    log.add(ByteBuffer.allocate(RECORD));
                  }
                  log.commit();
                });
        tell("record log, " + batch + " a commit", batch, times, bytes(place));
      }
    }
    Path place = directory.resolve("many");
    try (StorageDirectory disk = FileStorageDirectory.at(place);
        RecordLog log = open(disk, new long[1])) {
      for (int k = 0; k < MANY; k++) {
        log.add(ByteBuffer.allocate(RECORD).putInt(0, k));
        if (k % 1000 == 999) {
          log.commit();
        }
      }
    }
    long[] read = new long[1];
    long began = System.nanoTime();
    try (StorageDirectory disk = FileStorageDirectory.at(place);
        RecordLog log = open(disk, read)) {
      System.out.printf(
          "%d records (%d MB) read back in %d ms%n",
          read[0], bytes(place) >> 20, (System.nanoTime() - began) / 1_000_000);
    }
    try (Stream<Path> all = Files.walk(directory)) {
      for (Path each : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }

  private interface Step {
    void run() throws IOException;
  }

  private static RecordLog open(StorageDirectory disk, long[] read) throws IOException {
    return RecordLog.open(
        disk,
        8 << 20,
        new RecordLog.Reader() {
          @Override
          public void snapshot(long upTo, ByteBuffer content) {}

          @Override
          public void record(long number, ByteBuffer content) {
            read[0]++;
          }
        });
  }

  private static Histogram time(int times, Step step) throws IOException {
    Histogram histogram = new Histogram(3);
    for (int k = 0; k < times; k++) {
      long began = System.nanoTime();
      step.run();
      histogram.recordValue((System.nanoTime() - began) / 1000);
    }
    return histogram;
  }

  private static long bytes(Path place) throws IOException {
    try (Stream<Path> all = Files.list(place)) {
      long sum = 0;
      for (Path each : all.toList()) {
        sum += Files.size(each);
      }
      return sum;
    }
  }

  private static void tell(String what, int batch, Histogram micros, long bytes) {
    double seconds = micros.getMean() * micros.getTotalCount() / 1e6;
    System.out.printf(
        "%-28s %8.0f records/s, commit median %d us, p99 %d us, %.2f bytes written a byte kept%n",
        what,
        micros.getTotalCount() * batch / seconds,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        (double) bytes / (micros.getTotalCount() * batch * (double) RECORD));
  }
}
