package weldcross.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LogFormatTest {

  private static final List<ByteBuffer> RECORDS =
      List.of(ByteBuffer.wrap(new byte[] {1, 2, 3}), ByteBuffer.allocate(0));

  @Test
  void fileNamesContainTheNumberInSixteenHexadecimalDigits() throws CorruptLogException {
    assertEquals("log-000000000000002a", LogFormat.segmentName(42));
    assertEquals("snapshot-000000000000002a", LogFormat.snapshotName(42));
    assertEquals(42, LogFormat.parseNumber(LogFormat.SEGMENT_PREFIX, LogFormat.segmentName(42)));
    assertThrows(
        CorruptLogException.class, () -> LogFormat.parseNumber(LogFormat.SEGMENT_PREFIX, "log-x"));
  }

  @Test
  void encodedFrameIsDecoded() {
    ByteBuffer frame = LogFormat.encodeFrame(7, 11, RECORDS);
    assertEquals(
        Optional.of(new LogFormat.Frame(7, 11, RECORDS, frame.limit())),
        LogFormat.decodeFrame(frame, 0));
    assertTrue(LogFormat.hasFrame(frame, 0, 7, 7));
    assertFalse(LogFormat.hasFrame(frame, 0, 8, 20));
  }

  @Test
  void frameWithAnyByteFlippedIsNotDecoded() {
    ByteBuffer frame = LogFormat.encodeFrame(7, 11, RECORDS);
    for (int index = 0; index < frame.limit(); index++) {
      frame.put(index, (byte) (frame.get(index) ^ 0x10));
      assertEquals(Optional.empty(), LogFormat.decodeFrame(frame, 0), "byte " + index);
      frame.put(index, (byte) (frame.get(index) ^ 0x10));
    }
  }

  @Test
  void segmentHeaderContainsItsFirstRecord() {
    assertTrue(LogFormat.hasSegmentHeader(LogFormat.segmentHeader(5), 5));
    assertFalse(LogFormat.hasSegmentHeader(LogFormat.segmentHeader(5), 6));
    assertFalse(LogFormat.hasSegmentHeader(ByteBuffer.allocate(3), 5));
  }
}
