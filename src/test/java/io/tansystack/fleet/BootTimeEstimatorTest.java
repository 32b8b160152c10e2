package io.tansystack.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which booting machines count as pending capacity, and which have timed out. */
class BootTimeEstimatorTest {
  /**
   * Columns: ages of the booting machines of a type with a stated boot time of 40 s; boot times of
   * earlier machines; and whether the first machine counts as pending and has timed out.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          in time                            | 50             |             | true  | false
          overdue: replacements are rented   | 70 50 50       |             | false | false
          never came up                      | 131 50 50      |             | false | true
          as late as recent machines         | 150            | 160 170 150 | true  | false
          fast boots don't lower the limit   | 60             | 1 2 1       | true  | false
          the cloud is slow: more won't help | 90 90 90 90 20 | 	          | true  | false
          slow cloud: past the doubled limit | 261 90 90 90   |             | true  | true
          """)
  void classifiesBootingMachines(
      String name, String ages, String samples, boolean countsAsPending, boolean timedOut) {
    BootTimeEstimator estimator = new BootTimeEstimator();
    if (samples != null) {
      for (String time : samples.trim().split(" ")) {
        estimator.addSample("t", Double.parseDouble(time));
      }
    }
    estimator.resetCounts();
    String[] all = ages.trim().split(" ");
    for (String age : all) {
      estimator.countBooting("t", 40, Double.parseDouble(age));
    }
    double age = Double.parseDouble(all[0]);
    assertEquals(countsAsPending, estimator.countsAsPending("t", 40, age), name);
    assertEquals(timedOut, estimator.timedOut("t", 40, age), name);
  }
}
