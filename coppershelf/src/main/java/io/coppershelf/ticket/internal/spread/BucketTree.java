package io.coppershelf.ticket.internal.spread;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.coppershelf.ticket.ConfigurationStore;
import java.util.ArrayList;
import java.util.List;

/** Combines the digests of the configuration's buckets into groups, so that a difference is found in two steps. */
final class BucketTree {
    static final int GROUPS = 32;
    private static final int BUCKETS_PER_GROUP = ConfigurationStore.BUCKETS / GROUPS;

    private BucketTree() {}

    /** Returns the digest of each group. */
    static List<Long> groupDigests(long[] buckets) {
        List<Long> digests = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) {
            Hasher hasher = Hashing.murmur3_128().newHasher();
            bucketsOf(group).forEach(bucket -> hasher.putLong(buckets[bucket]));
            digests.add(hasher.hash().asLong());
        }
        return digests;
    }

    /** Returns the groups whose digests differ. */
    static List<Integer> differing(List<Long> local, List<Long> remote) {
        List<Integer> groups = new ArrayList<>();
        for (int group = 0; group < Math.min(local.size(), remote.size()); group++) {
            if (!local.get(group).equals(remote.get(group))) {
                groups.add(group);
            }
        }
        return groups;
    }

    /** Returns the buckets of a group. */
    static List<Integer> bucketsOf(int group) {
        List<Integer> buckets = new ArrayList<>();
        for (int i = 0; i < BUCKETS_PER_GROUP; i++) {
            buckets.add(group * BUCKETS_PER_GROUP + i);
        }
        return buckets;
    }
}
