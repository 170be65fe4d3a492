package io.coppershelf.ticket.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * An immutable map from names to byte strings. The entries of a bucket are stored one after another in one array, so
 * that an entry takes six bytes more than its content; a change copies one bucket and the table of buckets.
 *
 * <p>Entry: key length (2 bytes), key (UTF-8), value length (4 bytes), value.
 */
public final class PackedMap {
    /** The number of buckets; a power of two. */
    public static final int BUCKETS = 1024;

    private static final byte[] NO_ENTRIES = {};
    private static final int LENGTH_FIELDS_BYTES = Short.BYTES + Integer.BYTES;

    private final byte[][] buckets;
    private final int size;

    private PackedMap(byte[][] buckets, int size) {
        this.buckets = buckets;
        this.size = size;
    }

    /** Returns a map without entries. */
    public static PackedMap empty() {
        byte[][] buckets = new byte[BUCKETS][];
        Arrays.fill(buckets, NO_ENTRIES);
        return new PackedMap(buckets, 0);
    }

    /** Returns the bucket of a name. */
    public static int bucketOf(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash >>> (Integer.SIZE - Integer.numberOfTrailingZeros(BUCKETS));
    }

    /** Returns the number of entries. */
    public int size() {
        return size;
    }

    /** Returns the value of a name. */
    public Optional<byte[]> get(String name) {
        byte[] bucket = buckets[bucketOf(name)];
        int offset = find(bucket, name.getBytes(StandardCharsets.UTF_8));
        return offset < 0 ? Optional.empty() : Optional.of(valueAt(bucket, offset));
    }

    /** Returns a copy of this map with the value set for the name. */
    public PackedMap with(String name, byte[] value) {
        byte[] key = name.getBytes(StandardCharsets.UTF_8);
        byte[] bucket = buckets[bucketOf(name)];
        int offset = find(bucket, key);
        int end = offset < 0 ? bucket.length : offset;
        int rest = offset < 0 ? bucket.length : offset + entryBytes(bucket, offset);
        ByteBuffer changed =
                ByteBuffer.allocate(end + LENGTH_FIELDS_BYTES + key.length + value.length + bucket.length - rest);
        changed.put(bucket, 0, end);
        changed.putShort((short) key.length).put(key).putInt(value.length).put(value);
        changed.put(bucket, rest, bucket.length - rest);
        return replace(bucketOf(name), changed.array(), offset < 0 ? size + 1 : size);
    }

    /** Returns a copy of this map without the name. */
    public PackedMap without(String name) {
        byte[] bucket = buckets[bucketOf(name)];
        int offset = find(bucket, name.getBytes(StandardCharsets.UTF_8));
        if (offset < 0) {
            return this;
        }
        int rest = offset + entryBytes(bucket, offset);
        byte[] changed = Arrays.copyOf(bucket, offset + bucket.length - rest);
        System.arraycopy(bucket, rest, changed, offset, bucket.length - rest);
        return replace(bucketOf(name), changed, size - 1);
    }

    /** Calls the consumer with each entry of one bucket. */
    public void forEach(int bucket, BiConsumer<String, byte[]> consumer) {
        byte[] entries = buckets[bucket];
        for (int offset = 0; offset < entries.length; offset += entryBytes(entries, offset)) {
            int keyBytes = keyBytes(entries, offset);
            String key = new String(entries, offset + Short.BYTES, keyBytes, StandardCharsets.UTF_8);
            consumer.accept(key, valueAt(entries, offset));
        }
    }

    /** Calls the consumer with each entry. */
    public void forEach(BiConsumer<String, byte[]> consumer) {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            forEach(bucket, consumer);
        }
    }

    private PackedMap replace(int bucket, byte[] entries, int newSize) {
        byte[][] changed = buckets.clone();
        changed[bucket] = entries;
        return new PackedMap(changed, newSize);
    }

    private static int find(byte[] bucket, byte[] key) {
        for (int offset = 0; offset < bucket.length; offset += entryBytes(bucket, offset)) {
            int from = offset + Short.BYTES;
            if (Arrays.equals(bucket, from, from + keyBytes(bucket, offset), key, 0, key.length)) {
                return offset;
            }
        }
        return -1;
    }

    private static byte[] valueAt(byte[] bucket, int offset) {
        int from = offset + LENGTH_FIELDS_BYTES + keyBytes(bucket, offset);
        return Arrays.copyOfRange(bucket, from, offset + entryBytes(bucket, offset));
    }

    private static int entryBytes(byte[] bucket, int offset) {
        int keyBytes = keyBytes(bucket, offset);
        return LENGTH_FIELDS_BYTES + keyBytes + ByteBuffer.wrap(bucket).getInt(offset + Short.BYTES + keyBytes);
    }

    private static int keyBytes(byte[] bucket, int offset) {
        return ByteBuffer.wrap(bucket).getShort(offset);
    }
}
