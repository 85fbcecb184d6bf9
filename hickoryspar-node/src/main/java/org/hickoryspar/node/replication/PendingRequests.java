package org.hickoryspar.node.replication;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.LogEntry;
import org.jspecify.annotations.Nullable;

/** Requests of this process that have not completed. Thread-safe. */
final class PendingRequests<R> {

  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, CompletableFuture<Result<R>>> proposals = new ConcurrentHashMap<>();
  private final Map<Long, AcceptedProposal<R>> acceptedProposals = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Result<Long>>> readBarriers = new ConcurrentHashMap<>();

  /** Leadership transfers and membership changes. */
  private final Map<Long, CompletableFuture<Result<String>>> changes = new ConcurrentHashMap<>();

  long nextId() {
    return lastId.incrementAndGet();
  }

  CompletableFuture<Result<R>> addProposal(long id) {
    return proposals.computeIfAbsent(id, i -> new CompletableFuture<>());
  }

  CompletableFuture<Result<Long>> addReadBarrier(long id) {
    return readBarriers.computeIfAbsent(id, i -> new CompletableFuture<>());
  }

  CompletableFuture<Result<String>> addChange(long id) {
    return changes.computeIfAbsent(id, i -> new CompletableFuture<>());
  }

  void handleAccepted(long id, long index, long term) {
    CompletableFuture<Result<R>> future = proposals.remove(id);
    if (future != null) {
      acceptedProposals.put(index, new AcceptedProposal<>(term, future));
    }
  }

  void handleApplied(LogEntry entry, R result) {
    AcceptedProposal<R> proposal = acceptedProposals.remove(entry.getIndex());
    if (proposal == null) {
      return;
    }
    if (proposal.term == entry.getTerm()) {
      proposal.future.complete(Result.success(result));
    } else {
      proposal.future.complete(
          Result.failure("unknown", "another leader committed a different entry"));
    }
  }

  void handleReadBarrierPassed(long id, long appliedIndex) {
    complete(readBarriers.remove(id), Result.success(appliedIndex));
  }

  void handleChangeCompleted(long id, String detail) {
    complete(changes.remove(id), Result.success(detail));
  }

  void handleRejected(long id, Problem problem) {
    complete(proposals.remove(id), Result.failure(problem));
    complete(readBarriers.remove(id), Result.failure(problem));
    complete(changes.remove(id), Result.failure(problem));
  }

  /**
   * Fails the proposals that were appended. Their outcome is unknown, because another leader may
   * still commit them.
   */
  void failAcceptedProposals() {
    for (Long index : List.copyOf(acceptedProposals.keySet())) {
      AcceptedProposal<R> proposal = acceptedProposals.remove(index);
      if (proposal != null) {
        proposal.future.complete(
            Result.failure(
                "unknown", "this replica lost leadership before the entry was committed"));
      }
    }
  }

  /** Fails all requests after the core has stopped. */
  void failAll() {
    failAcceptedProposals();
    for (Long id : List.copyOf(proposals.keySet())) {
      // The core may have stopped in the step that appended the proposal.
      complete(proposals.remove(id), Result.failure("unknown", "the replica stopped"));
    }
    for (Long id : List.copyOf(readBarriers.keySet())) {
      complete(readBarriers.remove(id), Result.failure("not-leader", "the replica stopped"));
    }
    for (Long id : List.copyOf(changes.keySet())) {
      complete(changes.remove(id), Result.failure("unknown", "the replica stopped"));
    }
  }

  private static <T> void complete(@Nullable CompletableFuture<T> future, T value) {
    if (future != null) {
      future.complete(value);
    }
  }

  private record AcceptedProposal<R>(long term, CompletableFuture<Result<R>> future) {}
}
