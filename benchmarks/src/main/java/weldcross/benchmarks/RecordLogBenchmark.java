package weldcross.benchmarks;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import weldcross.storage.RecordLog;
import weldcross.storage.StorageDirectory;

/**
 * The cost of the record log's encoding and checksums compared with a plain file of lengths and
 * bytes, on storage that does nothing. One operation is a commit of some records of 100 bytes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RecordLogBenchmark {

  /** Accepts all writes and stores nothing. */
  private static final class NullDirectory implements StorageDirectory {

    @Override
    public SortedSet<String> fileNames() {
      return new TreeSet<>();
    }

    @Override
    public File open(String name) {
      return new File() {
        @Override
        public long size() {
          return 0;
        }

        @Override
        public void read(long position, ByteBuffer into) {}

        @Override
        public void write(long position, ByteBuffer from) {
          from.position(from.limit());
        }

        @Override
        public void truncate(long size) {}

        @Override
        public void force() {}

        @Override
        public void close() {}
      };
    }

    @Override
    public void rename(String from, String to) {}

    @Override
    public void delete(String name) {}

    @Override
    public void forceDirectory() {}

    @Override
    public void close() {}
  }

  @Param({"1", "16", "256"})
  private int records;

  private final ByteBuffer record = ByteBuffer.allocate(100);
  private RecordLog log;
  private StorageDirectory.File plain;

  /** Opens the log and the plain file. */
  @Setup
  public void open() throws IOException {
    log =
        RecordLog.open(
            new NullDirectory(),
            Long.MAX_VALUE,
            new RecordLog.Reader() {
              @Override
              public void snapshot(long upTo, ByteBuffer content) {}

              @Override
              public void record(long number, ByteBuffer content) {}
            });
    plain = new NullDirectory().open("plain");
  }

  /** Commits the records to the record log. */
  @Benchmark
  public void recordLog() throws IOException {
    for (int k = 0; k < records; k++) {
      log.append(record);
    }
    log.commit();
  }

  /** Writes the records to the plain file, and forces it. */
  @Benchmark
  public void plainFile() throws IOException {
    for (int k = 0; k < records; k++) {
      ByteBuffer bytes =
          ByteBuffer.allocate(4 + record.remaining())
              .putInt(record.remaining())
              .put(record.duplicate())
              .flip();
      plain.write(0, bytes);
    }
    plain.force();
  }
}
