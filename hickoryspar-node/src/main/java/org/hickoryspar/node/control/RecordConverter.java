package org.hickoryspar.node.control;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.protocol.InventoryUpdate;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.JobSpec;
import org.hickoryspar.protocol.Shape;
import org.hickoryspar.protocol.WorkerInfo;

/** Converts between replicated records and the value types of the scheduler. */
final class RecordConverter {

  private RecordConverter() {}

  static JobRequest toRequest(JobRecord job) {
    JobSpec spec = job.getSpec();
    GangShape shape =
        new GangShape(
            spec.getTasks(),
            GangDriver.toResources(spec.getPerTask()),
            Adjacency.valueOf(spec.getAdjacency().toUpperCase(Locale.ROOT)));
    return new JobRequest(
        job.getJobId(),
        spec.getTeam(),
        spec.getKind(),
        shape,
        spec.getUrgent(),
        spec.getDeclaredRunMillis(),
        spec.getPreemptible(),
        job.getSubmittedMillis());
  }

  static WorkerState toWorkerState(WorkerInfo worker) {
    return new WorkerState(
        worker.getId(),
        worker.getRack(),
        worker.getDataCentre(),
        GangDriver.toResources(worker.getCapacity()),
        !worker.getSilent());
  }

  static WorkerInfo toWorkerInfo(WorkerState worker) {
    ResourceVector capacity = worker.capacity();
    return WorkerInfo.newBuilder()
        .setId(worker.workerId())
        .setRack(worker.rack())
        .setDataCentre(worker.dataCentre())
        .setCapacity(
            Shape.newBuilder()
                .setCores(capacity.cores())
                .setMemoryMegabytes(capacity.memoryMegabytes())
                .setAccelerators(capacity.accelerators()))
        .setSilent(!worker.available())
        .build();
  }

  static EndReason endReason(String result) {
    return switch (result) {
      case "completed" -> EndReason.COMPLETED;
      case "task-failed" -> EndReason.TASK_FAILED;
      case "preempted" -> EndReason.PREEMPTED;
      case "cancelled" -> EndReason.CANCELLED;
      default -> EndReason.UNDONE;
    };
  }

  static InventoryUpdate diffInventory(List<WorkerInfo> recorded, List<WorkerState> reported) {
    Map<String, WorkerInfo> byId = new HashMap<>();
    recorded.forEach(worker -> byId.put(worker.getId(), worker));
    InventoryUpdate.Builder update = InventoryUpdate.newBuilder();
    for (WorkerState worker : reported) {
      WorkerInfo info = toWorkerInfo(worker);
      if (!info.equals(byId.remove(worker.workerId()))) {
        update.addUpserts(info);
      }
    }
    return update.addAllRemoved(byId.keySet().stream().sorted().toList()).build();
  }
}
