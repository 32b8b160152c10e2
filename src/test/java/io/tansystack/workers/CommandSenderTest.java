package io.tansystack.workers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.tansystack.cluster.ClusterState;
import io.tansystack.recovery.CommandThrottle;
import io.tansystack.schedule.MachineHistory;
import io.tansystack.sim.SimEventLoop;
import io.tansystack.wire.EncodingException;
import io.tansystack.wire.Report;
import io.tansystack.wire.TaskId;
import io.tansystack.wire.TaskReport;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against machines that get no commands any more because sending some failed once. */
class CommandSenderTest {
  private static final long TOKEN = 40;

  @Test
  void commandsThatCannotBeEncodedAreNotCountedAsInFlight() {
    SimEventLoop loop = new SimEventLoop();
    CommandSender sender =
        new CommandSender(
            loop,
            (to, method, path, body, timeout, handler) -> {},
            new ClusterState(delta -> {}),
            new CommandThrottle(loop, machine -> {}),
            (machine, report) -> {},
            machine -> {});
    OwnedMachine machine =
        new OwnedMachine("n-1", new MachineHistory(50), loop.now(), TOKEN, Duration.ZERO);
    TaskReport unwanted =
        new TaskReport(new TaskId("wk-\ud83d", 0), 1, TaskReport.State.RUNNING, null, false);
    machine.apply(
        new Report(
            "n-1", "127.0.0.1:9000", "small", "a", false, 1, 1, TOKEN, null, List.of(unwanted)),
        TOKEN);
    assertThrows(EncodingException.class, () -> sender.sendStops(machine, TOKEN));
    assertFalse(machine.commandsInFlight);
  }
}
