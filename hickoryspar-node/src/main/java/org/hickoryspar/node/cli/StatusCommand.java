package org.hickoryspar.node.cli;

/** Shows the state of the cluster. */
final class StatusCommand extends ServerCommand {

  @Override
  String summary() {
    return "Shows leader, replicas, guarantees, minions, workers and the configuration in force.";
  }

  @Override
  ExitCode execute(Session session) throws InterruptedException {
    return getAndPrint(session, "/v1/status");
  }
}
