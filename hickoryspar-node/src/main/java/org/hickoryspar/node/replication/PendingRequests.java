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

/** Requests that wait for an answer; thread-safe. */
final class PendingRequests<R> {

  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, CompletableFuture<Result<R>>> proposals = new ConcurrentHashMap<>();
  private final Map<Long, Accepted<R>> accepted = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Result<Long>>> barriers = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Result<String>>> changes = new ConcurrentHashMap<>();

  long nextId() {
    return lastId.incrementAndGet();
  }

  CompletableFuture<Result<R>> addProposal(long id) {
    return proposals.computeIfAbsent(id, i -> new CompletableFuture<>());
  }

  CompletableFuture<Result<Long>> addBarrier(long id) {
    return barriers.computeIfAbsent(id, i -> new CompletableFuture<>());
  }

  CompletableFuture<Result<String>> addChange(long id) {
    return changes.computeIfAbsent(id, i -> new CompletableFuture<>());
  }

  void accepted(long id, long index, long term) {
    CompletableFuture<Result<R>> future = proposals.remove(id);
    if (future != null) {
      accepted.put(index, new Accepted<>(term, future));
    }
  }

  void applied(LogEntry entry, R result) {
    Accepted<R> proposal = accepted.remove(entry.getIndex());
    if (proposal == null) {
      return;
    }
    if (proposal.term == entry.getTerm()) {
      proposal.future.complete(Result.success(result));
    } else {
      proposal.future.complete(Result.failure("unknown", "another leader took over"));
    }
  }

  void barrierPassed(long id, long appliedIndex) {
    complete(barriers.remove(id), Result.success(appliedIndex));
  }

  void changed(long id, String detail) {
    complete(changes.remove(id), Result.success(detail));
  }

  void rejected(long id, Problem problem) {
    complete(proposals.remove(id), Result.failure(problem));
    complete(barriers.remove(id), Result.failure(problem));
    complete(changes.remove(id), Result.failure(problem));
  }

  /** Fails the proposals that were appended: another leader may still commit them. */
  void leadershipLost() {
    for (Long index : List.copyOf(accepted.keySet())) {
      Accepted<R> proposal = accepted.remove(index);
      if (proposal != null) {
        proposal.future.complete(
            Result.failure("unknown", "this replica lost leadership before the commit"));
      }
    }
  }

  /** Fails everything once the core no longer runs. */
  void stopped() {
    leadershipLost();
    for (Long id : List.copyOf(proposals.keySet())) {
      // The core may have stopped in the middle of a step that appended it.
      complete(proposals.remove(id), Result.failure("unknown", "the replica stopped"));
    }
    for (Long id : List.copyOf(barriers.keySet())) {
      complete(barriers.remove(id), Result.failure("not-leader", "the replica stopped"));
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

  private record Accepted<R>(long term, CompletableFuture<Result<R>> future) {}
}
