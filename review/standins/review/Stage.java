package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.tansystack.emulator.EmulatedGangs;
import io.tansystack.emulator.EmulatedStore;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.emulator.StoreLimits;
import io.tansystack.emulator.WorkerEnvironment;
import io.tansystack.http.AddressServer;
import io.tansystack.http.EventLoop;
import io.tansystack.http.HttpClient;
import io.tansystack.http.HttpServer.Reply;
import io.tansystack.http.UndertowHttpClient;
import io.tansystack.http.XnioEventLoop;
import io.tansystack.settings.TomlTable;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.InvalidMessageException;
import io.tansystack.wire.JobKind;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.TaskId;
import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The surroundings of a small deployment: real controller processes, and stand-ins for the state
 * service, the cloud and the workers on loopback addresses. Users are sent by the scripts through
 * {@link #call}. All stand-ins run on one event loop.
 */
public final class Stage implements AutoCloseable {
  /** What a script chooses; the values are those of the operators' pages unless it says otherwise. */
  public static final class Config {
    public int controllers = 3;
    public List<String> zones = List.of("sofiayard", "plovdivyard");
    public double reportS = 3;
    public double leaseS = 36;
    public double cancelS = 61;
    public double rps = 200;
    public double writeRps = 20;
    public double valueKb = 16;
    public int txnOps = 16;

    /** The limits that the state service will have, as {@code state.next}; none if 0. */
    public int nextTxnOps;

    public double nextValueKb;
    public double nextWriteRps;
    public double cloudRps = 2;
    public double listLagS = 3;
    public double bootS = 2;
    public int maxConnections = 800;
    public double memoryMb = 176;

    /** Limit of open files of each controller process; 0 for none. */
    public int openFiles;

    /** Machines that can be rented at a time. */
    public int capacity = 52;

    public List<MachineType> types = new ArrayList<>();
    /** GPUs that each team is guaranteed, and may use at most. */
    public double teamGpus = 32;

    public double teamGpusMax = 120;
    public List<String> teams = new ArrayList<>(List.of("dispatch", "wagonops"));
  }

  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(4);

  public final Config config;
  public final List<InetSocketAddress> fronts = new ArrayList<>();
  private final List<InetSocketAddress> peers = new ArrayList<>();
  private final List<InetSocketAddress> stateAddresses = new ArrayList<>();
  private final InetSocketAddress cloudAddress;
  private final Path folder;
  private final List<String> commandLine;
  private final Process[] processes;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final XnioWorker xnio;
  private final EventLoop loop;
  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 256, 0);
  private final AddressServer server;
  private final Random random = new Random(1);
  public final Map<String, JobSpec> jobs = new ConcurrentHashMap<>();
  private final Map<String, ObjectNode> rentals = new HashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Environment environment = new Environment();
  private final EmulatedGangs gangs;
  private EmulatedStore store;
  private boolean lowered;
  private int machineCount;

  /** Called on the event loop for each event of a task: event, machine, task. */
  public interface TaskListener {
    void onTask(String event, String machine, TaskId task);
  }

  public volatile TaskListener taskListener = (event, machine, task) -> {};

  public Stage(Config config, Path root, Path folder, Path recordFile) throws Exception {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, e) -> {
          e.printStackTrace();
          System.exit(2); // The case could not run.
        });
    this.config = config;
    this.folder = folder;
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    this.commandLine =
        List.of(
            TomlTable.load(root.resolve("deploy/service.toml")).string("run").trim().split("\\s+"));
    this.processes = new Process[config.controllers];
    List<ServerSocket> reserved = new ArrayList<>();
    for (int i = 0; i < config.controllers; i++) {
      fronts.add(freeAddress(reserved));
      peers.add(freeAddress(reserved));
    }
    for (int i = 0; i < config.controllers; i++) {
      stateAddresses.add(freeAddress(reserved));
    }
    cloudAddress = freeAddress(reserved);
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    xnio =
        Xnio.getInstance(Stage.class.getClassLoader())
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    loop = new XnioEventLoop(xnio.getIoThread());
    server = new AddressServer(xnio, buffers, 1 << 20);
    gangs = new EmulatedGangs(environment);
    onLoop(
        () -> {
          store =
              new EmulatedStore(
                  loop, new StoreLimits(config.rps, config.writeRps, 1000), () -> false);
          return null;
        });
    for (int i = 0; i < config.controllers; i++) {
      int from = i;
      server.listen(
          stateAddresses.get(i),
          (method, path, body, reply) -> serveState(from, method, path, body, reply));
    }
    server.listen(cloudAddress, this::serveCloud);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /**
   * A free address that stays free until it is used: its port is below those that the system gives
   * to outgoing connections, and scripts that run at the same time seldom share a range.
   */
  private static InetSocketAddress freeAddress(List<ServerSocket> reserved) throws IOException {
    for (int tries = 0; tries < 1000; tries++) {
      int range = (int) (ProcessHandle.current().pid() % 10);
      int port = 10_000 + range * 2_000 + ThreadLocalRandom.current().nextInt(2_000);
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
      ServerSocket socket = new ServerSocket();
      try {
        socket.bind(address, 1);
        reserved.add(socket);
        return address;
      } catch (IOException e) {
        socket.close(); // In use.
      }
    }
    throw new IOException("no free port");
  }

  public double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  /** Writes a line to the record. */
  public synchronized void note(String format, Object... arguments) {
    record.printf("%8.3f %s%n", seconds(), String.format(format, arguments));
  }

  public EventLoop loop() {
    return loop;
  }

  public <T> T onLoop(Supplier<T> supplier) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            result.complete(supplier.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(20, TimeUnit.SECONDS);
  }

  // Controllers.

  public String label(int index) {
    return "berth-" + index;
  }

  public void startAll() throws IOException {
    for (int i = 0; i < config.controllers; i++) {
      start(i);
    }
  }

  public void start(int index) throws IOException {
    Path file = folder.resolve(label(index) + ".toml");
    Files.writeString(file, settings(index));
    List<String> command = new ArrayList<>();
    if (config.openFiles > 0) {
      // The page's limit of sockets, as a limit of this process alone.
      command.addAll(List.of("bash", "-c", "ulimit -n " + config.openFiles + "; exec \"$@\"", "run"));
    }
    command.addAll(commandLine);
    command.add(file.toAbsolutePath().toString());
    processes[index] =
        new ProcessBuilder(command)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(label(index) + ".log").toFile()))
            .redirectError(
                ProcessBuilder.Redirect.appendTo(folder.resolve(label(index) + ".log").toFile()))
            .start();
    Files.writeString(
        folder.resolve("pids"),
        processes[index].pid() + "\n",
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
    note("start %s pid=%d front=%s", label(index), processes[index].pid(), fronts.get(index));
  }

  public Process process(int index) {
    return processes[index];
  }

  public void kill(int index) throws InterruptedException {
    processes[index].destroyForcibly();
    processes[index].waitFor(5, TimeUnit.SECONDS);
    note("kill %s", label(index));
  }

  private void killAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  private String settings(int index) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"" + label(index) + "\"\n");
    text.append("zone = \"" + zoneOf(index) + "\"\n");
    text.append("front = \"" + text(fronts.get(index)) + "\"\n");
    text.append("peer_bind = \"" + text(peers.get(index)) + "\"\n");
    for (int i = 0; i < config.controllers; i++) {
      if (i != index) {
        text.append("[[seeds]]\nlabel = \"" + label(i) + "\"\nzone = \"" + zoneOf(i) + "\"\n");
        text.append("peer_addr = \"" + text(peers.get(i)) + "\"\n");
      }
    }
    text.append("[services]\ncloud = \"" + text(cloudAddress) + "\"\n");
    text.append("state = \"" + text(stateAddresses.get(index)) + "\"\n");
    text.append("[cluster]\nsize = " + config.controllers + "\n");
    text.append("zones = [\"" + String.join("\", \"", config.zones) + "\"]\nskew_ms = 250.0\n");
    for (String team : config.teams) {
      text.append("[[cluster.teams]]\nname = \"" + team + "\"\n");
      text.append("cpus = 0.0\ncpus_max = 0.0\ngpus = " + config.teamGpus + "\n");
      text.append("gpus_max = " + config.teamGpusMax + "\n");
    }
    text.append("[cluster.workers]\nreport_s = " + config.reportS + "\nlease_s = " + config.leaseS);
    text.append("\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = " + config.cancelS + "\n");
    text.append("[cluster.state]\nrps = " + config.rps + "\nwrite_rps = " + config.writeRps);
    text.append("\nvalue_kb = " + config.valueKb + "\ntxn_ops = " + config.txnOps + "\n");
    if (config.nextTxnOps > 0) {
      text.append("[cluster.state.next]\nrps = " + config.rps);
      text.append("\nwrite_rps = " + config.nextWriteRps + "\nvalue_kb = " + config.nextValueKb);
      text.append("\ntxn_ops = " + config.nextTxnOps + "\n");
    }
    text.append("[cluster.cloud]\nrps = " + config.cloudRps);
    text.append("\nlist_lag_s = " + config.listLagS + "\n");
    text.append("[cluster.machine_limits]\ncores = 1.0\nmemory_mb = " + config.memoryMb);
    text.append("\nmax_connections = " + config.maxConnections + "\n");
    return text.toString();
  }

  private String zoneOf(int index) {
    return config.zones.get(index % config.zones.size());
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /** Waits until every controller answers 200 to a health check; false if one does not in time. */
  public boolean awaitUp(double timeoutS) throws InterruptedException {
    double until = seconds() + timeoutS;
    for (int i = 0; i < config.controllers; i++) {
      while (call(i, "GET", "/up", null, 1000).status != 200) {
        if (seconds() > until) {
          note("%s does not come up", label(i));
          return false;
        }
        Thread.sleep(200);
      }
    }
    note("all controllers answer /up with 200");
    return true;
  }

  // The state service.

  /** What becomes of a controller's request to the state service; true if that was all. */
  public interface StateFault {
    boolean onRequest(int from, String method, String path, Runnable execute, Reply reply);
  }

  public volatile StateFault stateFault = (from, method, path, execute, reply) -> false;

  private void serveState(int from, String method, String path, byte[] body, Reply reply) {
    Runnable late = () -> serveState(method, path, body, (status, answer, retry) -> {});
    if (!stateFault.onRequest(from, method, path, late, reply)) {
      serveState(method, path, body, reply);
    }
  }

  private void serveState(String method, String path, byte[] body, Reply reply) {
    ObjectNode map = decode(body);
    if (path.equals("/commit") && !withinLimits(map)) {
      reply.send(400, Cbor.encode(Cbor.map().put("error", "too large")));
      return;
    }
    store.handle(method, path, map, (status, answer) -> reply.send(status, Cbor.encode(answer)));
  }

  /** Lowers the state service's limits to those of {@code state.next}. */
  public void lowerLimits() throws Exception {
    onLoop(
        () -> {
          lowered = true;
          store.limits(new StoreLimits(config.rps, config.nextWriteRps, 1000));
          return null;
        });
    note("the state service has its new limits");
  }

  private boolean withinLimits(ObjectNode transaction) {
    int txnOps = lowered ? config.nextTxnOps : config.txnOps;
    double valueBytes = (lowered ? config.nextValueKb : config.valueKb) * 1024;
    JsonNode writes = transaction.path("Then");
    boolean ok =
        writes.size() <= txnOps
            && transaction.path("When").size() <= 4 * txnOps
            && Cbor.jsonSize(transaction) <= 64 << 10;
    int largest = 0;
    for (JsonNode write : writes) {
      largest = Math.max(largest, write.has("Value") ? Cbor.jsonSize(write.get("Value")) : 0);
    }
    if (!ok || largest > valueBytes) {
      String first = writes.isEmpty() ? "" : writes.get(0).path("Write").asText();
      note(
          "state service: 400, too large: %d changes, %d conditions, largest value %d, first %s",
          writes.size(), transaction.path("When").size(), largest, first);
      return false;
    }
    return true;
  }

  // The cloud.

  /** Names of types of which the cloud has no machine to give now. */
  public final Set<String> unavailable = ConcurrentHashMap.newKeySet();

  private void serveCloud(String method, String path, byte[] body, Reply reply) {
    ObjectNode answer = Cbor.map();
    int status = 200;
    if (path.startsWith("/machine_types")) {
      ArrayNode list = answer.putArray("Fleets");
      for (MachineType type : config.types) {
        ObjectNode node = list.addObject().put("Label", type.name()).put("Cpus", type.cpus());
        node.put("Gpus", type.gpus()).put("MemGb", type.memGb()).put("CacheGb", type.cacheGb());
        node.put("PullGbPerS", type.fetchGbPerS()).put("Price", type.price());
        node.put("MarketPrice", type.spotPrice()).put("BootS", type.bootS());
        type.zones().forEach(node.putArray("Yards")::add);
      }
    } else if (path.startsWith("/machines/delete")) {
      decode(body).path("Berths").forEach(name -> delete(name.asText()));
    } else if (method.equals("POST")) {
      status = rent(decode(body), answer);
      answer = status == 200 ? rentals.get(decode(body).path("Charter").asText()) : answer;
    } else {
      list(path, answer);
    }
    reply.send(status, Cbor.encode(answer));
  }

  private int rent(ObjectNode request, ObjectNode answer) {
    String name = request.path("Charter").asText();
    if (rentals.containsKey(name)) {
      return 200;
    }
    ObjectNode result = Cbor.map();
    ArrayNode names = result.putArray("Berths");
    MachineType type = null;
    for (MachineType offered : config.types) {
      type = offered.name().equals(request.path("Fleet").asText()) ? offered : type;
    }
    boolean offered = type != null && !unavailable.contains(type.name());
    for (int i = 0; offered && i < Math.min(50, request.path("HowMany").asInt()); i++) {
      if (machines.values().stream().filter(m -> !m.gone).count() < config.capacity) {
        boolean spot = request.path("Loaners").asBoolean();
        Machine machine = new Machine(type, request.path("Yard").asText(), spot);
        names.add(machine.worker.name());
      }
    }
    if (names.isEmpty()) {
      note("no capacity: %s", request);
      answer.put("error", "no capacity");
      return 503;
    }
    note("rented %d %s from %s on", names.size(), type.name(), names.get(0).asText());
    rentals.put(name, result);
    return 200;
  }

  private void list(String path, ObjectNode answer) {
    ArrayNode list = answer.putArray("Berths");
    String since = path.contains("Since=") ? path.replaceAll(".*Since=([^&]*).*", "$1") : "";
    Duration lag = Duration.ofMillis((long) (config.listLagS * 1000));
    boolean more = false;
    for (Machine machine : machines.values()) {
      Duration age = loop.now().minus(lag).minus(machine.rentedAt);
      boolean visible =
          !age.isNegative()
              && (!machine.gone || loop.now().minus(lag).compareTo(machine.goneAt) < 0)
              && machine.worker.name().compareTo(since) > 0;
      if (visible && list.size() == 500) {
        more = true;
        break;
      }
      if (visible) {
        list.addObject()
            .put("Uid", machine.worker.name())
            .put("Endpoint", machine.worker.address())
            .put("Fleet", machine.worker.type().name())
            .put("Yard", machine.worker.zone())
            .put("Loaners", machine.worker.spot())
            .put("Status", age.toMillis() >= config.bootS * 1000 ? "running" : "starting")
            .put("AgeS", age.toMillis() / 1000.0);
      }
    }
    answer.put("HasNext", more);
  }

  private void delete(String name) {
    Machine machine = machines.get(name);
    if (machine != null && !machine.gone) {
      note("deleted %s", name);
      machine.vanish();
    }
  }

  /** The machines that are not gone; to be used on the event loop. */
  public List<Machine> present() {
    List<Machine> present = new ArrayList<>();
    for (Machine machine : machines.values()) {
      if (!machine.gone) {
        present.add(machine);
      }
    }
    return present;
  }

  /** Adds a machine that is up; to be used on the event loop. */
  public Machine addMachine(MachineType type, String zone, boolean spot) {
    return new Machine(type, zone, spot);
  }

  /** A machine and its worker. */
  public final class Machine {
    public final EmulatedWorker worker;
    final Duration rentedAt = loop.now();
    private final UndertowHttpClient client;
    private final InetSocketAddress address;
    private int target = random.nextInt(config.controllers);
    private boolean inFlight;
    private boolean changed;
    private Duration sentAt = Duration.ZERO;
    private EventLoop.Timer timer;
    public boolean gone;
    Duration goneAt;
    public int accepted;
    public int refused;
    public int largestReport;

    Machine(MachineType type, String zone, boolean spot) {
      String name = String.format("n-%06d", machineCount++);
      client = new UndertowHttpClient(xnio.getIoThread(), loop, buffers, 1);
      try {
        List<ServerSocket> reserved = new ArrayList<>();
        address = freeAddress(reserved);
        reserved.get(0).close();
        server.listen(address, this::serve);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      worker =
          new EmulatedWorker(
              environment, gangs, name, text(address), type, zone, spot,
              Duration.ofMillis((long) (config.leaseS * 1000)));
      machines.put(name, this);
      schedule(Duration.ofMillis((long) (config.bootS * 1000 * (0.6 + 0.6 * random.nextDouble()))));
    }

    /**
     * The machine is without power from now on: all tasks are gone, and its connections stay silent.
     */
    public void vanish() {
      if (!gone) {
        gone = true;
        goneAt = loop.now();
        worker.markDead();
        server.close(address);
        if (timer != null) {
          timer.cancel();
        }
      }
    }

    private void serve(String method, String path, byte[] body, Reply reply) {
      if (gone) {
        return; // No answer, and the connection stays open.
      }
      int status = 200;
      if (path.equals("/orders")) {
        ObjectNode map = decode(body);
        status =
            map == null || !map.has("Baton") || !map.has("Shift") ? 400 : worker.handleCommands(map);
      }
      reply.send(status, Cbor.encode(worker.report().write()));
    }

    void onChanged() {
      changed = true;
      if (!inFlight && timer != null) {
        Duration delay = sentAt.plusMillis(500).minus(loop.now());
        schedule(delay.isNegative() ? Duration.ZERO : delay);
      }
    }

    private void schedule(Duration delay) {
      if (timer != null) {
        timer.cancel();
      }
      timer = loop.after(delay, this::report);
    }

    private void report() {
      timer = null;
      if (gone || inFlight) {
        return; // A report in flight is followed by the next one.
      }
      inFlight = true;
      changed = false;
      sentAt = loop.now();
      Duration reportSentAt = sentAt;
      long session = worker.session();
      byte[] body = Cbor.encode(worker.report().write());
      largestReport = Math.max(largestReport, body.length);
      int to = target;
      client.call(
          fronts.get(to),
          "POST",
          "/v1/report",
          body,
          REPORT_TIMEOUT,
          new HttpClient.ResponseHandler() {
            @Override
            public void onResponse(int status, byte[] answer) {
              inFlight = false;
              if (!gone) {
                answered(status, decode(answer), reportSentAt, session, body.length);
              }
            }

            @Override
            public void onNoResponse(boolean wasRefused) {
              inFlight = false;
              if (!gone) {
                next();
              }
            }
          });
    }

    private void answered(
        int status, ObjectNode answer, Duration reportSentAt, long session, int bytes) {
      if (status == 200 && answer != null) {
        accepted++;
        worker.onReportResponse(status, answer, reportSentAt, session);
        double factor = 0.75 + 0.5 * random.nextDouble();
        Duration due =
            changed
                ? sentAt.plusMillis(500)
                : sentAt.plusMillis((long) (config.reportS * 1000 * factor));
        Duration wait = due.minus(loop.now());
        schedule(wait.isNegative() ? Duration.ZERO : wait);
        return;
      }
      if (status != 421) {
        refused++;
        note("%s report of %d bytes to %s: %d", worker.name(), bytes, label(target), status);
      }
      String named = status == 421 && answer != null ? answer.path("Dispatcher").asText("") : "";
      for (int i = 0; i < config.controllers; i++) {
        if (label(i).equals(named) && i != target) {
          target = i;
          schedule(Duration.ofMillis(random.nextInt(500)));
          return;
        }
      }
      next();
    }

    private void next() {
      target = (target + 1) % config.controllers;
      schedule(Duration.ofSeconds(1));
    }
  }

  private final class Environment implements WorkerEnvironment {
    private final Set<TaskId> completed = new HashSet<>();
    private final Map<EmulatedWorker, Map<String, Duration>> ready = new HashMap<>();

    @Override
    public EventLoop loop() {
      return loop;
    }

    @Override
    public JobSpec jobSpec(String job) {
      return jobs.get(job);
    }

    @Override
    public Duration fetchTime(EmulatedWorker worker, String job) {
      JobSpec spec = jobs.get(job);
      Map<String, Duration> images = ready.computeIfAbsent(worker, k -> new HashMap<>());
      Duration at =
          images.computeIfAbsent(
              spec.image(),
              k ->
                  loop.now()
                      .plusMillis((long) (spec.imageGb() / worker.type().fetchGbPerS() * 1000)));
      Duration wait = at.minus(loop.now());
      return wait.isNegative() ? Duration.ZERO : wait;
    }

    @Override
    public Duration runTime(TaskId task) {
      double s = jobs.get(task.job()).estimateS();
      return s <= 0 ? Duration.ofDays(1) : Duration.ofMillis((long) (s * 1000));
    }

    @Override
    public Duration saveTime() {
      return Duration.ZERO;
    }

    @Override
    public Duration gangWait() {
      return Duration.ofSeconds(40);
    }

    @Override
    public Duration gangPeerTimeout() {
      return Duration.ofSeconds(6);
    }

    @Override
    public int gangSize(String job) {
      JobSpec spec = jobs.get(job);
      return spec != null && spec.kind() == JobKind.GANG ? spec.tasks() : 0;
    }

    @Override
    public boolean hasCompleted(TaskId task) {
      return completed.contains(task);
    }

    @Override
    public void onStarted(EmulatedWorker worker, TaskId task) {
      taskListener.onTask("started", worker.name(), task);
    }

    @Override
    public void onEnded(EmulatedWorker worker, TaskId task) {
      taskListener.onTask("ended", worker.name(), task);
    }

    @Override
    public void onCompleted(TaskId task) {
      completed.add(task);
      taskListener.onTask("completed", "", task);
    }

    @Override
    public void onChanged(EmulatedWorker worker) {
      Machine machine = machines.get(worker.name());
      if (machine != null && !machine.gone) {
        machine.onChanged();
      }
    }
  }

  // Users.

  /** An answer to a user; status 0 for none. */
  public static final class Answer {
    public final int status;
    public final ObjectNode body;

    Answer(int status, ObjectNode body) {
      this.status = status;
      this.body = body;
    }

    public String state() {
      return body == null ? "" : body.path("Status").asText("");
    }

    @Override
    public String toString() {
      return status == 0 ? "no answer" : status + " " + body;
    }
  }

  /** A job's description, all fields of which are set; fields can be replaced before it is sent. */
  public static ObjectNode job(
      String id, String shape, int tasks, double cpus, double memGb, double transitS) {
    ObjectNode map = Cbor.map();
    map.put("Uid", id).put("Consist", "pathdesk").put("Crew", "dispatch").put("Shape", shape);
    map.put("Urgency", "standard").put("Wagons", tasks).put("Cpus", cpus).put("Gpus", 0.0);
    map.put("MemGb", memGb).put("Cargo", "img-01").put("PullGb", 0.5).putNull("Fleets");
    map.putNull("Yard").put("SamePlace", false).put("Scatter", false).put("Loaners", true);
    map.put("TransitS", transitS).put("WaypointS", 0.0).put("CoupleS", 0.0).putNull("DueS");
    return map;
  }

  /** Registers a job for the workers, which fetch descriptions from the users. */
  public void upload(ObjectNode job) throws InvalidMessageException {
    JobSpec spec = JobSpec.read(job);
    jobs.put(spec.id(), spec);
  }

  /** Sends one request on a new connection, as after the load balancer's choice of a node. */
  public Answer call(int controller, String method, String path, byte[] body, int timeoutMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.connect(fronts.get(controller), Math.min(500, timeoutMs));
      socket.setTcpNoDelay(true);
      byte[] content = body == null ? new byte[0] : body;
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + text(fronts.get(controller))
              + "\r\nContent-Type: application/cbor\r\nContent-Length: " + content.length
              + "\r\nConnection: close\r\n\r\n";
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.write(content);
      out.flush();
      InputStream in = socket.getInputStream();
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      byte[] buffer = new byte[8192];
      while (true) {
        int left = (int) ((deadline - System.nanoTime()) / 1_000_000);
        if (left <= 0) {
          return new Answer(0, null);
        }
        socket.setSoTimeout(left);
        int n = in.read(buffer);
        if (n < 0) {
          break;
        }
        bytes.write(buffer, 0, n);
      }
      return parse(bytes.toByteArray());
    } catch (IOException e) {
      return new Answer(0, null);
    }
  }

  private static Answer parse(byte[] response) {
    String text = new String(response, StandardCharsets.ISO_8859_1);
    int end = text.indexOf("\r\n\r\n");
    if (!text.startsWith("HTTP/1.1 ") || end < 0) {
      return new Answer(0, null);
    }
    int status = Integer.parseInt(text.substring(9, 12));
    byte[] body = java.util.Arrays.copyOfRange(response, end + 4, response.length);
    return new Answer(status, body.length == 0 ? null : decode(body));
  }

  static ObjectNode decode(byte[] body) {
    try {
      return Cbor.decodeMap(body);
    } catch (InvalidMessageException e) {
      return null;
    }
  }

  /** Submits a job at one node after the other until it is accepted. */
  public boolean submit(ObjectNode job, double timeoutS) throws Exception {
    upload(job);
    String id = job.get("Uid").asText();
    double until = seconds() + timeoutS;
    for (int i = 0; seconds() < until; i++) {
      Answer answer = call(i % config.controllers, "POST", "/v1/jobs", Cbor.encode(job), 5000);
      note("submit %s at %s: %s", id, label(i % config.controllers), answer);
      if (answer.status == 200 || answer.status == 201) {
        return true;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  public Answer poll(int controller, String id) {
    return call(controller, "GET", "/v1/jobs/" + id, null, 2000);
  }

  @Override
  public void close() {
    killAll();
    record.close();
  }
}
