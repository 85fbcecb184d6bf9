import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of the deploy file. */
final class Daemon {

  final String name;
  final String role;
  final String ip;
  private final List<String> command;
  private final Path folder;
  private final Record record;
  private Process process;
  private volatile boolean wanted;
  private volatile int ownEnds;

  Daemon(String name, String role, String ip, List<String> command, Path folder, Record record) {
    this.name = name;
    this.role = role;
    this.ip = ip;
    this.command = command;
    this.folder = folder;
    this.record = record;
  }

  Path settingsFile() {
    return folder.resolve("boot.json");
  }

  Path dataFolder() {
    return folder.resolve("data");
  }

  Path logFile() {
    return folder.resolve("log.txt");
  }

  /** Returns how often the process has ended although nobody ended it. */
  int ownEnds() {
    return ownEnds;
  }

  long pid() {
    return process.pid();
  }

  synchronized void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("HICKORYSPAR_BOOT", settingsFile().toString());
    process = builder.start();
    wanted = true;
    record.add("process " + name + " started, pid " + process.pid());
    Process started = process;
    Thread watcher = new Thread(() -> watch(started), "watch " + name);
    watcher.setDaemon(true);
    watcher.start();
  }

  // The platform starts a process that has ended again after a short delay, with Bootstrap false.
  private void watch(Process started) {
    try {
      int code = started.waitFor();
      if (!wanted || started != process) {
        return;
      }
      ownEnds++;
      record.add("process " + name + " ended by itself with code " + code);
      TimeUnit.MILLISECONDS.sleep(500);
      if (wanted) {
        clearBootstrap();
        start();
      }
    } catch (InterruptedException | IOException e) {
      record.add("watching " + name + " failed: " + e);
    }
  }

  void clearBootstrap() throws IOException {
    String settings = Files.readString(settingsFile());
    Files.writeString(
        settingsFile(), settings.replace("\"Bootstrap\":true", "\"Bootstrap\":false"));
  }

  void kill() throws InterruptedException {
    wanted = false;
    record.add("process " + name + " gets SIGKILL");
    process.destroyForcibly().waitFor();
  }

  void signal(String signal) throws IOException, InterruptedException {
    record.add("process " + name + " gets SIG" + signal);
    new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
  }

  boolean logContains(String text) throws IOException {
    return Files.exists(logFile()) && Files.readString(logFile()).contains(text);
  }

  void end() {
    wanted = false;
    if (process != null && process.isAlive()) {
      process.destroyForcibly();
    }
  }
}
