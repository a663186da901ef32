package weldcross.pgwire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What a server has said to one query so far; the messages that make up its row stay as they were read. */
public final class ServerAnswer {

    private ByteBuffer columns;
    private ByteBuffer row;
    private ByteBuffer complete;
    private String state;
    private Boolean primary;
    private long position;
    private String stats;

    /** Takes one message; true once the answer is whole, that is with ReadyForQuery. */
    boolean take(byte type, ByteBuffer whole) throws Malformed {
        switch (type) {
            case 'T' -> columns = once(columns, whole);
            case 'D' -> row = once(row, whole);
            case 'C' -> complete = once(complete, whole);
            case 'E' -> state = field(whole, 'C');
            case 'S' -> parameter(whole);
            case 'N', 'I' -> {
                // A notice says nothing that is read here; an empty query has no other answer.
            }
            case 'Z' -> {
                return true;
            }
            default -> throw new Malformed("08P01", "message of type " + (char) type + " from a server");
        }
        return false;
    }

    /** Whether there is a whole row, ended as it should be. */
    public boolean isServed() {
        return state == null && columns != null && row != null && complete != null;
    }

    /** The row as its client gets it: untouched, then ready. */
    public ByteBuffer[] forClient() {
        return new ByteBuffer[] {columns, row, complete, Replies.ready()};
    }

    /** The SQLSTATE of an error; null where there was none. */
    public String state() {
        return state;
    }

    /** Null where the server said nothing of its role. */
    public Boolean primary() {
        return primary;
    }

    /** Unix time in milliseconds; 0 where the server said none. */
    public long positionMillis() {
        return position;
    }

    /** The load report: beside a row, or as the row of a probe; null where there is none. */
    public String stats() {
        return stats;
    }

    /** The one value of the row as text, for what a gateway itself has asked. */
    public String rowText() {
        int length = row == null || row.limit() < 11 ? -1 : row.getInt(7);
        return length < 0 || 11 + length > row.limit() ? "" : text(row, 11, 11 + length);
    }

    private static ByteBuffer once(ByteBuffer before, ByteBuffer now) throws Malformed {
        if (before != null) {
            throw new Malformed("08P01", "more than one row from a server");
        }
        return now;
    }

    private void parameter(ByteBuffer whole) throws Malformed {
        int middle = end(whole, FrameReader.body((byte) 'S'));
        String name = text(whole, FrameReader.body((byte) 'S'), middle);
        String value = text(whole, middle + 1, end(whole, middle + 1));
        switch (name) {
            case "mode" -> primary = value.equals("read-write") ? Boolean.TRUE
                    : value.equals("read-only") ? Boolean.FALSE : null;
            case "wal_time" -> {
                try {
                    position = Long.parseLong(value);
                } catch (NumberFormatException e) {
                    throw new Malformed("08P01", "wal_time is no number");
                }
            }
            case "stats" -> stats = value;
            default -> {
                // Parameters of the session itself; nothing here depends on them.
            }
        }
    }

    private static String field(ByteBuffer whole, char wanted) throws Malformed {
        int at = FrameReader.body((byte) 'E');
        while (at < whole.limit() && whole.get(at) != 0) {
            int end = end(whole, at + 1);
            if (whole.get(at) == wanted) {
                return text(whole, at + 1, end);
            }
            at = end + 1;
        }
        return "";
    }

    private static int end(ByteBuffer whole, int from) throws Malformed {
        for (int at = from; at < whole.limit(); at++) {
            if (whole.get(at) == 0) {
                return at;
            }
        }
        throw new Malformed("08P01", "text without an end from a server");
    }

    private static String text(ByteBuffer whole, int from, int to) {
        byte[] bytes = new byte[to - from];
        whole.get(from, bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
