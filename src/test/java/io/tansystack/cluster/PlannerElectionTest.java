package io.tansystack.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.cluster.ClusterState.ControllerRecord;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks which controllers plan: all of a few on a small fleet, else the one that registered first,
 * so that the return of a controller moves no work.
 */
class PlannerElectionTest {
  /**
   * Each live controller is given as label, zone and version of its record; the fleet as the number
   * of machines and whether one controller holds all slots.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          1 | c-0 a 5                                     | 0 no     | c-0
          3 | c-0 a 5, c-1 a 6, c-2 b 7                   | 0 no     | c-0 c-1 c-2
          3 | c-0 a 5, c-2 b 7                            | 0 no     | c-0 c-2
          4 | c-0 a 5, c-1 a 6, c-2 a 7, c-3 b 9          | 0 no     | c-0
          4 | c-0 b 9, c-1 a 6, c-2 a 7, c-3 a 8          | 0 no     | c-1
          5 | c-0 a 40, c-1 a 8, c-2 b 7, c-3 a 8, c-4 b 9 | 0 no     | c-2
          7 | c-1 a 8, c-2 b 7                            | 0 no     | c-2
          3 | c-0 a 9, c-1 a 6, c-2 b 7                   | 149 no   | c-1 c-2 c-0
          3 | c-0 a 9, c-1 a 6, c-2 b 7                   | 150 no   | c-1
          3 | c-0 a 9, c-1 a 6, c-2 b 7                   | 75 yes   | c-1
          3 | c-0 a 9, c-1 a 6, c-2 b 7                   | 74 yes   | c-1 c-2 c-0
          3 | c-0 a 9                                     | 2200 yes | c-0
          """)
  void choosesTheControllersThatRegisteredFirst(
      int controllerCount, String liveControllers, String fleet, String expected) {
    Map<String, ControllerRecord> records = new TreeMap<>();
    for (String controller : liveControllers.split(", ")) {
      String[] parts = controller.trim().split(" ");
      records.put(parts[0], new ControllerRecord("boot", parts[1], Long.parseLong(parts[2])));
    }
    String[] cluster = fleet.trim().split(" ");
    assertEquals(
        List.of(expected.trim().split(" ")),
        PlannerElection.choose(
            records, controllerCount, Integer.parseInt(cluster[0]), cluster[1].equals("yes")));
  }
}
