package org.hickoryspar.node.concurrent;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PeriodicTaskTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(1);

  @DataProvider
  Object[][] failures() {
    return new Object[][] {{new IllegalStateException("failure")}, {new StackOverflowError()}};
  }

  /** Guards against one failed run that ends the repetition without a trace. */
  @Test(dataProvider = "failures")
  void shouldRepeatTheTaskWhenARunFails(Throwable failure) throws Exception {
    CountDownLatch runs = new CountDownLatch(3);
    Runnable task =
        () -> {
          runs.countDown();
          if (failure instanceof Error error) {
            throw error;
          }
          throw (RuntimeException) failure;
        };
    try (PeriodicTask periodicTask = new PeriodicTask("test", 1, task)) {
      periodicTask.start();

      assertTrue(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  /** Guards against a change that takes effect only after the interval. */
  @Test
  void shouldRunTheTaskBeforeTheIntervalEndsWhenAsked() throws Exception {
    CountDownLatch runs = new CountDownLatch(1);
    try (PeriodicTask periodicTask = new PeriodicTask("test", NEVER_MILLIS, runs::countDown)) {
      periodicTask.start();
      periodicTask.runNow();

      assertTrue(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }
}
