package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.tansystack.emulator.EmulatedCloud;
import io.tansystack.emulator.EmulatedGangs;
import io.tansystack.emulator.EmulatedStore;
import io.tansystack.emulator.EmulatedWorker;
import io.tansystack.emulator.StoreLimits;
import io.tansystack.emulator.WorkerEnvironment;
import io.tansystack.http.EventLoop;
import io.tansystack.wire.Cbor;
import io.tansystack.wire.JobSpec;
import io.tansystack.wire.MachineType;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A small deployment on loopback addresses: controllers as real processes with the deploy file's
 * command, and the project's emulated state service, cloud and workers in this process. Each
 * controller reaches the state service through a proxy of its own.
 */
final class Rig implements AutoCloseable {
  /** What the settings file says; the defaults are those of kit/next/pelamin-gallery-grown. */
  static final class Config {
    int controllers = 3;
    List<String> zones = List.of("cyberjaya", "penang");
    double rps = 200;
    double writeRps = 80;
    int valueKb = 32;
    int txnOps = 48;
    double reportS = 4;
    double leaseS = 18;
    double gangWaitS = 45;
    double gangPeerS = 8;
    double cancelS = 43;
    int maxConnections = 1500;
    double cloudRps = 5;
    double listLagS = 3;
    String teams = "";
    List<MachineType> types = new ArrayList<>();
    int[] machines = {};
    double fetchS = 1;

    /** Settings as those of kit/next/relsovo-plan-grown, with three controllers and small teams. */
    static Config relsovo() {
      Config c = new Config();
      c.zones = List.of("plovdivyard", "sofiayard");
      c.writeRps = 20;
      c.valueKb = 16;
      c.txnOps = 16;
      c.reportS = 5;
      c.leaseS = 36;
      c.gangWaitS = 40;
      c.gangPeerS = 6;
      c.cancelS = 61;
      c.maxConnections = 800;
      c.cloudRps = 2;
      c.types.add(
          new MachineType("heavyhaul", 96, 8, 768, 300, 2, 25.33, 5.78, 25, c.zones));
      c.types.add(new MachineType("mainline", 32, 0, 64, 100, 1, 1.73, 0.42, 40, c.zones));
      c.teams =
          "[[cluster.teams]]\nname = \"dispatch\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\n"
              + "gpus_max = 16.0\n[[cluster.teams]]\nname = \"wagonops\"\ncpus = 0.0\n"
              + "cpus_max = 0.0\ngpus = 8.0\ngpus_max = 16.0\n";
      return c;
    }
  }

  /** One thread that owns a stand-in's state. */
  static final class Loop implements EventLoop {
    private final ScheduledThreadPoolExecutor executor;

    Loop(String name) {
      executor =
          new ScheduledThreadPoolExecutor(
              1,
              r -> {
                Thread t = new Thread(r, name);
                t.setDaemon(true);
                return t;
              });
      executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public Duration now() {
      return Duration.ofNanos(System.nanoTime());
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
      ScheduledFuture<?> f =
          executor.schedule(
              () -> guarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
      return () -> f.cancel(false);
    }

    @Override
    public void execute(Runnable task) {
      executor.execute(() -> guarded(task));
    }

    <T> T call(java.util.function.Supplier<T> s) throws Exception {
      return executor.submit(s::get).get(10, TimeUnit.SECONDS);
    }

    private static void guarded(Runnable task) {
      try {
        task.run();
      } catch (RuntimeException e) {
        e.printStackTrace();
      }
    }
  }

  interface Service {
    void handle(String method, String path, byte[] body, BiConsumer<Integer, ObjectNode> reply);
  }

  record Answer(int status, ObjectNode body, long sentMs, long answeredMs) {}

  final Config config;
  final Path folder;
  final PrintWriter record;
  final long startNanos = System.nanoTime();
  final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });
  final Loop storeLoop = new Loop("store");
  final Loop fleetLoop = new Loop("fleet");
  final Random random = new Random(7);
  EmulatedStore store;
  final Fleet fleet;
  final List<InetSocketAddress> fronts = new ArrayList<>();
  final List<InetSocketAddress> peerAddresses = new ArrayList<>();
  final List<Proxy> stateProxies = new ArrayList<>();
  final List<Process> processes = new ArrayList<>();
  final Map<String, ObjectNode> submitted = new ConcurrentHashMap<>();
  private final List<String> command = new ArrayList<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private InetSocketAddress cloudAddress;
  private final Path root;
  final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(threads)
          .build();

  Rig(Config config, Path root, Path folder, Path recordFile) throws Exception {
    this.config = config;
    this.root = root;
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        command.addAll(List.of(text.trim().split("\\s+")));
      }
    }
    storeLoop.call(
        () -> {
          store =
              new EmulatedStore(
                  storeLoop,
                  new StoreLimits(config.rps, config.writeRps, StoreLimits.MAX_PAGE_SIZE),
                  () -> false);
          return null;
        });
    InetSocketAddress storeAddress =
        serve(storeLoop, (m, p, b, reply) -> store.handle(m, p, decode(b), reply));
    fleet = new Fleet();
    EmulatedCloud cloud = new EmulatedCloud(fleetLoop, fleet, kind -> false);
    cloudAddress =
        serve(
            fleetLoop,
            (m, p, b, reply) ->
                cloud.handle(p, decode(b), (status, map) -> reply.accept(status, listed(map))));
    for (int i = 0; i < config.controllers; i++) {
      fronts.add(freeAddress());
      peerAddresses.add(freeAddress());
      stateProxies.add(new Proxy(storeAddress));
      processes.add(null);
    }
  }

  private static final Random PORTS = new Random();

  /** A loopback address of this run alone, so that no other process takes its ports. */
  static final String HOST =
      "127." + (10 + PORTS.nextInt(240)) + "." + PORTS.nextInt(250) + "." + (1 + PORTS.nextInt(250));

  /** A machine that dies remains listed as running for about 30 s more. */
  private ObjectNode listed(ObjectNode map) {
    for (var machine : map.path("Berths")) {
      Long died = machine.isObject() ? fleet.diedAt.get(machine.path("Uid").asText()) : null;
      if (died != null && ms() - died < 30_000) {
        ((ObjectNode) machine).put("Status", "running");
      }
    }
    return map;
  }

  static InetSocketAddress freeAddress() throws IOException {
    while (true) {
      int port = 12_000 + PORTS.nextInt(18_000);
      try (ServerSocket s = new ServerSocket()) {
        s.bind(new InetSocketAddress(HOST, port), 1);
        return new InetSocketAddress(HOST, port);
      } catch (java.net.BindException e) {
        // It is taken.
      }
    }
  }

  long ms() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void log(String format, Object... args) {
    synchronized (record) {
      record.printf("%7.3f %s%n", ms() / 1000.0, String.format(format, args));
    }
  }

  static ObjectNode decode(byte[] body) {
    try {
      return body == null || body.length == 0 ? Cbor.map() : Cbor.decodeMap(body);
    } catch (Exception e) {
      return Cbor.map();
    }
  }

  InetSocketAddress serve(Loop loop, Service service) throws IOException {
    HttpServer server =
        HttpServer.create(freeAddress(), 256);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(exchange, loop, service));
    server.start();
    synchronized (servers) {
      servers.add(server);
    }
    return server.getAddress();
  }

  private void handle(HttpExchange exchange, Loop loop, Service service) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().toString();
    String method = exchange.getRequestMethod();
    loop.execute(
        () ->
            service.handle(
                method,
                path,
                body,
                (status, map) -> {
                  byte[] encoded = Cbor.encode(map);
                  threads.execute(() -> respond(exchange, status, encoded));
                }));
  }

  private static void respond(HttpExchange exchange, int status, byte[] body) {
    try {
      exchange.getResponseHeaders().set("Content-Type", "application/cbor");
      exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      exchange.getResponseBody().write(body);
    } catch (IOException e) {
      // The caller has given up.
    } finally {
      exchange.close();
    }
  }

  void startController(int i) throws IOException {
    Path file = folder.resolve("c-" + i + ".toml");
    Files.writeString(file, settingsText(i));
    List<String> line = new ArrayList<>(command);
    line.add(file.toString());
    var log = ProcessBuilder.Redirect.appendTo(folder.resolve("c-" + i + ".log").toFile());
    processes.set(
        i,
        new ProcessBuilder(line)
            .directory(root.toFile())
            .redirectOutput(log)
            .redirectError(log)
            .start());
    log("started controller c-%d", i);
  }

  void kill(int i) throws Exception {
    processes.get(i).destroyForcibly().waitFor();
    log("killed controller c-%d", i);
  }

  void signal(int i, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(processes.get(i).pid())).start().waitFor();
    log("signal %s to controller c-%d", name, i);
  }

  private static String host(InetSocketAddress a) {
    return HOST + ":" + a.getPort();
  }

  private String settingsText(int i) {
    StringBuilder t = new StringBuilder();
    t.append("label = \"c-" + i + "\"\nzone = \"" + config.zones.get(i % config.zones.size()) + "\"\n");
    t.append("front = \"" + host(fronts.get(i)) + "\"\npeer_bind = \"" + host(peerAddresses.get(i)) + "\"\n");
    for (int o = 0; o < config.controllers; o++) {
      if (o != i) {
        t.append("[[seeds]]\nlabel = \"c-" + o + "\"\nzone = \"" + config.zones.get(o % config.zones.size()));
        t.append("\"\npeer_addr = \"" + host(peerAddresses.get(o)) + "\"\n");
      }
    }
    t.append("[services]\ncloud = \"" + host(cloudAddress) + "\"\nstate = \"" + host(stateProxies.get(i).address));
    t.append("\"\n[cluster]\nsize = " + config.controllers + "\nzones = [\"" + String.join("\", \"", config.zones));
    t.append("\"]\nskew_ms = 100.0\n" + config.teams);
    t.append("[cluster.workers]\nreport_s = " + config.reportS + "\nlease_s = " + config.leaseS);
    t.append("\ngang_wait_s = " + config.gangWaitS + "\ngang_peer_s = " + config.gangPeerS);
    t.append("\ncancel_s = " + config.cancelS + "\n[cluster.state]\nrps = " + config.rps);
    t.append("\nwrite_rps = " + config.writeRps + "\nvalue_kb = " + (double) config.valueKb);
    t.append("\ntxn_ops = " + config.txnOps + "\n[cluster.cloud]\nrps = " + config.cloudRps);
    t.append("\nlist_lag_s = " + config.listLagS + "\n[cluster.machine_limits]\ncores = 0.88\n");
    t.append("memory_mb = 320.0\nmax_connections = " + config.maxConnections + "\n");
    return t.toString();
  }

  /** Sends one request to a controller's front address; status 0 stands for no response. */
  Answer request(int controller, String method, String path, ObjectNode body, Duration timeout) {
    long sent = ms();
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Cbor.encode(body));
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host(fronts.get(controller)) + path))
            .method(method, publisher)
            .timeout(timeout)
            .build();
    try {
      HttpResponse<byte[]> r = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return new Answer(r.statusCode(), decode(r.body()), sent, ms());
    } catch (IOException | InterruptedException e) {
      return new Answer(0, Cbor.map(), sent, ms());
    }
  }

  boolean up(int controller) {
    return request(controller, "GET", "/up", null, Duration.ofSeconds(1)).status == 200;
  }

  boolean waitUp(int seconds, int... controllers) throws Exception {
    long deadline = ms() + seconds * 1000L;
    for (int c : controllers) {
      while (!up(c)) {
        if (ms() > deadline) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  /** Fields that differ from the defaults of {@link #job}. */
  static ObjectNode with(ObjectNode job, Object... fields) {
    for (int i = 0; i < fields.length; i += 2) {
      Object v = fields[i + 1];
      String name = (String) fields[i];
      if (v instanceof String text) {
        job.put(name, text);
      } else if (v instanceof Double number) {
        job.put(name, number);
      } else if (v instanceof Boolean flag) {
        job.put(name, flag);
      } else if (v instanceof List<?> list) {
        var array = job.putArray(name);
        list.forEach(item -> array.add(item.toString()));
      }
    }
    return job;
  }

  static ObjectNode job(
      String id, String shape, String urgency, int tasks, double cpus, double memGb, String image) {
    ObjectNode map = Cbor.map();
    map.put("Uid", id).put("Consist", "thumbgen").put("Crew", "studioops").put("Shape", shape);
    map.put("Urgency", urgency).put("Wagons", tasks).put("Cpus", cpus).put("Gpus", 0.0);
    map.put("MemGb", memGb).put("Cargo", image).put("PullGb", 1.8);
    map.putNull("Fleets").putNull("Yard");
    map.put("SamePlace", false).put("Scatter", false).put("Loaners", true);
    map.put("TransitS", 40.0).put("WaypointS", 0.0).put("CoupleS", 0.0).putNull("DueS");
    return map;
  }

  Answer submit(int controller, ObjectNode job) {
    submitted.put(job.get("Uid").asText(), job);
    return request(controller, "POST", "/v1/jobs", job, Duration.ofSeconds(5));
  }

  Answer poll(int controller, String id) {
    return request(controller, "GET", "/v1/jobs/" + id, null, Duration.ofSeconds(2));
  }

  Answer abort(int controller, String id) {
    return request(controller, "POST", "/v1/jobs/" + id + "/abort", Cbor.map(), Duration.ofSeconds(5));
  }

  @Override
  public void close() {
    for (Process p : processes) {
      if (p != null) {
        p.destroyForcibly();
      }
    }
    for (Process p : processes) {
      try {
        if (p != null) {
          p.waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    stateProxies.forEach(Proxy::close);
    record.flush();
    deleteFolder();
  }

  /** The controllers' settings and logs; they stay if the variable KEEP is set. */
  private void deleteFolder() {
    if (System.getenv("KEEP") != null) {
      System.err.println("logs are in " + folder);
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(folder);
    } catch (IOException e) {
      // Another thread has deleted it.
    }
  }

  /** A TCP proxy that passes everything on, refuses connections, or keeps silent. */
  final class Proxy {
    final InetSocketAddress address;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    volatile boolean silent;
    volatile long bytesToClient;

    Proxy(InetSocketAddress target) throws IOException {
      this.target = target;
      this.address = freeAddress();
      open();
    }

    synchronized void open() throws IOException {
      ServerSocket s = new ServerSocket();
      s.setReuseAddress(true);
      s.bind(address, 128);
      listener = s;
      threads.execute(() -> accept(s));
    }

    /** From now on connections are refused, and the open ones are reset. */
    synchronized void refuse() throws IOException {
      listener.close();
      for (Socket s : sockets) {
        closeQuietly(s);
      }
    }

    void close() {
      try {
        refuse();
      } catch (IOException e) {
        // It is closed.
      }
    }

    private void accept(ServerSocket s) {
      while (!s.isClosed()) {
        try {
          Socket client = s.accept();
          sockets.add(client);
          Socket server = new Socket();
          server.connect(target, 2000);
          sockets.add(server);
          client.setTcpNoDelay(true);
          server.setTcpNoDelay(true);
          threads.execute(() -> pump(client, server, false));
          threads.execute(() -> pump(server, client, true));
        } catch (IOException e) {
          // Closed, or the target is away.
        }
      }
    }

    private void pump(Socket from, Socket to, boolean toClient) {
      byte[] buffer = new byte[65536];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          while (silent) {
            Thread.sleep(20);
          }
          out.write(buffer, 0, n);
          if (toClient) {
            bytesToClient += n;
          }
        }
      } catch (IOException | InterruptedException e) {
        // One side is closed.
      } finally {
        closeQuietly(from);
        closeQuietly(to);
        sockets.remove(from);
        sockets.remove(to);
      }
    }

    private void closeQuietly(Socket s) {
      try {
        s.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }

  /** The machines: emulated workers that report as the protocol says. */
  final class Fleet implements WorkerEnvironment, EmulatedCloud.MachineProvider {
    final EmulatedGangs gangs = new EmulatedGangs(this);
    final Map<String, EmulatedWorker> workers = new TreeMap<>();
    final Map<String, Sender> senders = new HashMap<>();
    final Map<String, Map<String, Duration>> images = new HashMap<>();
    final Set<TaskId> completed = new HashSet<>();

    /** Machines that are up, or will be after their boot time. */
    final Set<String> up = new HashSet<>();

    /** Machines that fail every task. */
    final Set<String> faulty = ConcurrentHashMap.newKeySet();

    /** Machines on which tasks have failed. */
    final Set<String> errors = new HashSet<>();

    /** When machines have stopped on their own. */
    final Map<String, Long> diedAt = new HashMap<>();

    /** How many machines of a type the cloud has beyond those that are up from the start. */
    final Map<String, Integer> available = new HashMap<>();

    /** Whether machines that are rented now never come up. */
    boolean neverUp;

    int starts;
    final Map<String, Integer> startsByJob = new HashMap<>();
    private int number;

    void addMachines() throws Exception {
      int total = 0;
      for (int type = 0; type < config.machines.length; type++) {
        for (int i = 0; i < config.machines[type]; i++) {
          MachineType t = config.types.get(type);
          String zone = t.zones().get(i % t.zones().size());
          addWorker(t, zone, total++);
        }
      }
    }

    /** The machine stops with all that is on it. */
    void die(String name) throws Exception {
      fleetLoop.call(
          () -> {
            log("%s stops with all that is on it", name);
            senders.get(name).stopped = true;
            diedAt.put(name, ms());
            workers.get(name).markDead();
            return null;
          });
    }

    /** Adds a machine that is up. */
    void addWorker(MachineType type, String zone, int index) throws Exception {
      fleetLoop.call(
          () -> create(type, zone, index % config.controllers, random.nextInt(1500), false));
    }

    /**
     * To be called on the fleet's loop.
     *
     * @param upInMs when the machine sends its first report; negative if it never comes up
     */
    private String create(MachineType type, String zone, int target, long upInMs, boolean spot) {
      String name = String.format("n-%06d", number++);
      EmulatedWorker[] worker = new EmulatedWorker[1];
      try {
        InetSocketAddress address =
            serve(fleetLoop, (m, p, b, reply) -> serveWorker(worker[0], p, b, reply));
        worker[0] =
            new EmulatedWorker(
                this, gangs, name, host(address), type, zone, spot,
                Duration.ofMillis((long) (config.leaseS * 1000)));
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
      workers.put(name, worker[0]);
      Sender sender = new Sender(worker[0], target);
      senders.put(name, sender);
      if (upInMs >= 0) {
        sender.schedule(Duration.ofMillis(upInMs));
        up.add(name);
      }
      return name;
    }

    private void serveWorker(
        EmulatedWorker w, String path, byte[] body, BiConsumer<Integer, ObjectNode> reply) {
      if (w.isDead()) {
        return; // A machine without power stays silent.
      }
      if (path.equals("/orders")) {
        ObjectNode map = decode(body);
        int status = map.has("Baton") && map.has("Shift") ? w.handleCommands(map) : 400;
        reply.accept(status, w.report().write());
      } else {
        reply.accept(200, w.report().write());
      }
    }

    @Override
    public EventLoop loop() {
      return fleetLoop;
    }

    @Override
    public JobSpec jobSpec(String job) {
      ObjectNode map = submitted.get(job);
      try {
        return map == null ? null : JobSpec.read(map);
      } catch (Exception e) {
        return null;
      }
    }

    @Override
    public Duration fetchTime(EmulatedWorker worker, String job) {
      JobSpec spec = jobSpec(job);
      Map<String, Duration> ready = images.computeIfAbsent(worker.name(), k -> new HashMap<>());
      Duration now = fleetLoop.now();
      Duration at = ready.computeIfAbsent(
          spec == null ? "" : spec.image(), k -> now.plusMillis((long) (config.fetchS * 1000)));
      Duration wait = at.minus(now);
      return wait.isNegative() ? Duration.ZERO : wait;
    }

    @Override
    public Duration runTime(TaskId task) {
      JobSpec spec = jobSpec(task.job());
      if (spec == null || spec.estimateS() <= 0) {
        return Duration.ofDays(1);
      }
      double f = 0.5 + 1.0 * random.nextDouble();
      return Duration.ofMillis((long) (spec.estimateS() * f * 1000));
    }

    @Override
    public Duration saveTime() {
      return Duration.ofSeconds(1);
    }

    @Override
    public Duration gangWait() {
      return Duration.ofMillis((long) (config.gangWaitS * 1000));
    }

    @Override
    public Duration gangPeerTimeout() {
      return Duration.ofMillis((long) (config.gangPeerS * 1000));
    }

    @Override
    public int gangSize(String job) {
      ObjectNode map = submitted.get(job);
      return map != null && map.get("Shape").asText().equals("group") ? map.get("Wagons").asInt() : 0;
    }

    @Override
    public boolean hasCompleted(TaskId task) {
      return completed.contains(task);
    }

    final Map<TaskId, String> onMachine = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, Long> cancelledMs = new ConcurrentHashMap<>();

    @Override
    public void onStarted(EmulatedWorker worker, TaskId task) {
      if (faulty.contains(worker.name())) {
        fleetLoop.after(Duration.ofMillis(500), () -> fail(worker, task));
      }
      starts++;
      startsByJob.merge(task.job(), 1, Integer::sum);
      String other = onMachine.put(task, worker.name());
      if (other != null && !other.equals(worker.name())) {
        violation("ran_twice " + task + " on " + other + " and " + worker.name());
      }
      Long cancelled = cancelledMs.get(task.job());
      if (cancelled != null && ms() - cancelled > config.cancelS * 1000) {
        violation("ran_cancelled " + task + " starts on " + worker.name());
      }
    }

    @Override
    public void onEnded(EmulatedWorker worker, TaskId task) {
      onMachine.remove(task, worker.name());
    }

    private void fail(EmulatedWorker worker, TaskId task) {
      for (String attempt : worker.liveAttempts()) {
        String key = attempt.substring(0, attempt.lastIndexOf('#'));
        if (key.startsWith(task + "#")) {
          log("%s fails on %s", key, worker.name());
          errors.add(worker.name());
          worker.end(key, TaskReport.Cause.ERROR);
        }
      }
    }

    void violation(String text) {
      violations.add(text);
      log("VIOLATION %s", text);
    }

    /** Checks that no task of a job is on a machine cancel_s after its cancellation. */
    void checkCancelled() {
      onMachine.forEach(
          (task, machine) -> {
            Long cancelled = cancelledMs.get(task.job());
            if (cancelled != null && ms() - cancelled > config.cancelS * 1000) {
              violation("ran_cancelled " + task + " is on " + machine);
            }
          });
    }

    @Override
    public void onCompleted(TaskId task) {
      completed.add(task);
    }

    @Override
    public void onChanged(EmulatedWorker worker) {
      Sender sender = senders.get(worker.name());
      if (sender != null) {
        sender.onChanged();
      }
    }

    @Override
    public List<MachineType> types() {
      return config.types;
    }

    @Override
    public String rent(MachineType type, String zone, boolean spot) {
      if (available.getOrDefault(type.name(), 0) <= 0) {
        return null;
      }
      available.merge(type.name(), -1, Integer::sum);
      long bootMs = neverUp ? -1 : (long) (type.bootS() * 1000 * (0.8 + 0.4 * random.nextDouble()));
      String name = create(type, zone, random.nextInt(config.controllers), bootMs, spot);
      log("cloud rents %s: %s in %s%s", name, type.name(), zone, neverUp ? ", never up" : "");
      return name;
    }

    @Override
    public void delete(String name) {
      EmulatedWorker w = workers.remove(name);
      if (w != null) {
        log("cloud deletes %s", name);
        senders.remove(name).stopped = true;
        w.markDead();
      }
    }

    @Override
    public Collection<EmulatedWorker> rented() {
      return workers.values();
    }

    @Override
    public Duration listLag() {
      return Duration.ofMillis((long) (config.listLagS * 1000));
    }

    @Override
    public Duration bootTime(EmulatedWorker machine) {
      if (!up.contains(machine.name())) {
        return Duration.ofDays(1);
      }
      return senders.get(machine.name()).firstSentAt.minus(machine.rentedAt());
    }
  }

  /** Sends one worker's reports, one at a time and to one controller at a time. */
  final class Sender {
    final EmulatedWorker worker;
    int target;
    boolean stopped;
    boolean inFlight;
    boolean changed;
    volatile boolean mute;
    Duration sentAt = Duration.ZERO;

    /** When the machine is up. */
    Duration firstSentAt = Duration.ZERO;

    EventLoop.Timer next;

    Sender(EmulatedWorker worker, int target) {
      this.worker = worker;
      this.target = target;
    }

    void schedule(Duration delay) {
      if (next != null) {
        next.cancel();
      }
      if (firstSentAt.isZero()) {
        firstSentAt = fleetLoop.now().plus(delay);
      }
      next = fleetLoop.after(delay.isNegative() ? Duration.ZERO : delay, this::send);
    }

    void onChanged() {
      changed = true;
      if (!inFlight && next != null) {
        schedule(sentAt.plusMillis(500).minus(fleetLoop.now()));
      }
    }

    void send() {
      if (stopped) {
        return;
      }
      inFlight = true;
      changed = false;
      sentAt = fleetLoop.now();
      Duration reportSentAt = sentAt;
      long session = worker.session();
      int to = target;
      byte[] body = Cbor.encode(worker.report().write());
      if (mute) {
        fleetLoop.after(Duration.ofSeconds(4), () -> done(0, Cbor.map(), reportSentAt, session));
        return;
      }
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + host(fronts.get(to)) + "/v1/report"))
              .POST(HttpRequest.BodyPublishers.ofByteArray(body))
              .timeout(Duration.ofSeconds(4))
              .build();
      http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
          .whenComplete(
              (r, e) ->
                  fleetLoop.execute(
                      () ->
                          done(
                              e != null ? 0 : r.statusCode(),
                              e != null ? Cbor.map() : decode(r.body()),
                              reportSentAt,
                              session)));
    }

    private void done(int status, ObjectNode body, Duration reportSentAt, long session) {
      inFlight = false;
      if (stopped) {
        return;
      }
      String named = body.path("Dispatcher").asText("");
      if (status == 200) {
        worker.onReportResponse(status, body, reportSentAt, session);
        double factor = 0.75 + 0.5 * random.nextDouble();
        Duration interval = Duration.ofMillis((long) (config.reportS * 1000 * factor));
        Duration wait = changed ? Duration.ofMillis(500) : interval;
        schedule(reportSentAt.plus(wait).minus(fleetLoop.now()));
      } else if (status == 421
          && named.startsWith("c-")
          && Integer.parseInt(named.substring(2)) != target) {
        target = Integer.parseInt(named.substring(2));
        schedule(Duration.ofMillis(random.nextInt(500)));
      } else {
        target = (target + 1) % config.controllers;
        schedule(Duration.ofSeconds(1));
      }
    }
  }
}
