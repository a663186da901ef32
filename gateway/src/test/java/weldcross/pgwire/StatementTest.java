package weldcross.pgwire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.pgwire.WireMessages.READ;
import static weldcross.pgwire.WireMessages.query;
import static weldcross.pgwire.WireMessages.text;
import static weldcross.pgwire.WireMessages.write;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class StatementTest {

  @Test
  void withTimeoutReplacesOnlyTimeout() throws ProtocolException {
    for (String text : List.of(READ, write("9f03"))) {
      Statement statement = Statement.parse(ByteBuffer.wrap(query(text)));
      for (long timeout : new long[] {1, 480, 123_456}) {
        assertEquals(
            new String(query(text.replace("d=480", "d=" + timeout)), StandardCharsets.ISO_8859_1),
            text(statement.withTimeout(timeout)));
      }
    }
  }

  @Test
  void commentFieldsAreParsed() throws ProtocolException {
    Statement statement = Statement.parse(ByteBuffer.wrap(query(READ)));
    assertEquals(
        List.of("9b1f", "basket", "acme", "7f3a"),
        List.of(statement.id(), statement.requestClass(), statement.tenant(), statement.key()));
    assertEquals(
        List.of(2L, 480L, 1767225600123L),
        List.of((long) statement.group(), statement.timeoutMillis(), statement.lastWriteMillis()));
    assertFalse(statement.isWrite() || statement.isRetry());
    assertTrue(
        Statement.parse(ByteBuffer.wrap(query(READ.replace("d=480", "r=1,d=480")))).isRetry());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "id=9b1f,||22023",
        "id=9b1f|id=|22023",
        "id=9b1f|id=9b1f,id=9b1f|22023",
        "c=basket,||22023",
        "d=480|d=soon|22023",
        "d=480|d=-1|22023",
        "d=480|d=99999999999|22023",
        "d=480|d=480,d=480|22023",
        "cluster=2|cluster=x|22023",
        ",cluster=2||22023",
        "after=1767225600123|after=new|22023",
        "'7f3a'|''|42601",
        "'7f3a'|'7f''3a'|42601",
        "'7f3a'|'7f\\3a'|42601",
        "name =|name|42601",
        "SELECT|select|42601",
        "kv|kw|42601",
        "/*|--|42601",
        "*/|*/;|42601",
        "*/||42601",
        "*/|*/ /* x=1 */|42601",
        "t=acme|t=ac*/me|22023"
      })
  void malformedStatementIsRejected(String part, String replacement, String sqlState) {
    String text = READ.replace(part, replacement == null ? "" : replacement);
    ProtocolException exception =
        assertThrows(ProtocolException.class, () -> Statement.parse(ByteBuffer.wrap(query(text))));
    assertEquals(sqlState, exception.sqlState(), text);
  }

  @ParameterizedTest
  @ValueSource(strings = {"9f0", "9g", "9f03 "})
  void invalidHexValueIsRejected(String hex) {
    assertThrows(
        ProtocolException.class, () -> Statement.parse(ByteBuffer.wrap(query(write(hex)))));
  }
}
