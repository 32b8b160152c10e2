package io.tansystack.cluster;

import java.util.Set;

/**
 * What a batch of changed records concerns, so that nothing else need be looked at again.
 *
 * @param machines machines whose own record changed
 * @param placedOn machines on which something else is recorded than before
 * @param controllers whether controllers came, went or started anew
 */
public record ClusterStateDelta(
    Set<String> jobs, Set<String> machines, Set<String> placedOn, boolean controllers) {}
