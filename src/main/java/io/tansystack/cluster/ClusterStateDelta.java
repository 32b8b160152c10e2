package io.tansystack.cluster;

import java.util.Set;

/**
 * What a batch of changed records affects; everything else need not be evaluated again.
 *
 * @param jobs IDs of the jobs whose record changed
 * @param machines names of the machines whose effective record may have changed
 * @param placementsChangedOn names of the machines whose recorded placements changed
 * @param controllersChanged whether a controller registered, restarted or lost its record
 */
public record ClusterStateDelta(
    Set<String> jobs,
    Set<String> machines,
    Set<String> placementsChangedOn,
    boolean controllersChanged) {}
