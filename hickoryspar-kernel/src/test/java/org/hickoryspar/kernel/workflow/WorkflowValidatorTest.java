package org.hickoryspar.kernel.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkflowValidatorTest {

  private static WorkflowStep.Builder step(int tasks) {
    return WorkflowStep.newBuilder().setTasks(tasks);
  }

  private static WorkflowStep.Builder demanding(TaskDemand.Builder demand) {
    return step(1).setDemand(demand);
  }

  private static WorkflowSpec.Builder spec(WorkflowStep.Builder... steps) {
    return WorkflowSpec.newBuilder()
        .addAllSteps(Stream.of(steps).map(WorkflowStep.Builder::build).toList());
  }

  private static WorkflowSpec.Builder specOfSteps(int count) {
    List<WorkflowStep> steps = Stream.generate(() -> step(1).build()).limit(count).toList();
    return WorkflowSpec.newBuilder().addAllSteps(steps);
  }

  @DataProvider
  Object[][] invalid() {
    return new Object[][] {
      {"no steps", spec()},
      {"too many steps", specOfSteps(WorkflowValidator.MAX_STEPS + 1)},
      {"a step without tasks", spec(step(1), step(0))},
      {"a step that depends on itself", spec(step(1).addDependsOn(0))},
      {"a step that depends on a later one", spec(step(1).addDependsOn(1), step(1))},
      {"more tasks than fit in memory", spec(step(Integer.MAX_VALUE))},
      {"too many tasks in two steps", spec(step(WorkflowValidator.MAX_TASKS), step(1))},
      {"too many occurrences", spec(step(1)).setOccurrences(Integer.MAX_VALUE)},
      {"too many tasks in all occurrences", spec(step(50_000)).setOccurrences(3)},
      {"an endless interval", spec(step(1)).setOccurrences(2).setIntervalMillis(Long.MAX_VALUE)},
      {"a due time out of range", spec(step(1)).setOccurrences(2).setFirstDueMillis(1L << 60)},
      {"an endless estimate", spec(step(1).setEstimatedMillis(Long.MAX_VALUE))},
      {"an endless response time", spec(step(1).setResponseTargetMillis(Long.MAX_VALUE))},
      {"too many cores", spec(demanding(TaskDemand.newBuilder().setCpuMillicores(1L << 60)))},
      {"too much memory", spec(demanding(TaskDemand.newBuilder().setMemoryMegabytes(1L << 60)))}
    };
  }

  /** Guards against a workflow that exhausts the memory of every replica, again and again. */
  @Test(dataProvider = "invalid")
  void shouldRefuseAWorkflowOutOfRangeWithAReason(String what, WorkflowSpec.Builder spec) {
    Optional<Problem> problem = WorkflowValidator.validate(spec.build());

    assertEquals(problem.map(Problem::code), Optional.of("malformed"), what);
    assertFalse(problem.orElseThrow().message().isEmpty(), what);
  }

  @DataProvider
  Object[][] valid() {
    return new Object[][] {
      {"one task", spec(step(1))},
      {"as many tasks as allowed", spec(step(WorkflowValidator.MAX_TASKS))},
      {"as many steps as allowed", specOfSteps(WorkflowValidator.MAX_STEPS)},
      {"a dependency", spec(step(1), step(1).addDependsOn(0))},
      {"a schedule", spec(step(2)).setOccurrences(1_000).setIntervalMillis(86_400_000)}
    };
  }

  /** Guards against a limit that refuses a workflow of a supported size. */
  @Test(dataProvider = "valid")
  void shouldAcceptAWorkflowWithinTheLimits(String what, WorkflowSpec.Builder spec) {
    assertEquals(WorkflowValidator.validate(spec.build()), Optional.empty(), what);
  }
}
