package io.tansystack.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BootTimeEstimatorTest {
  /**
   * Ages of the machines that are waited for, and how long earlier ones took, of a type that is said
   * to boot in 40 s. What is asked is about the first of them.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          in time                          | 50              |             | true  | false
          overdue: others are rented       | 70 50 50        |             | false | false
          never came up                    | 131 50 50       |             | false | true
          late as all others lately        | 150             | 160 170 150 | true  | false
          up at once says nothing of hope  | 60              | 1 2 1       | true  | false
          the cloud is slow: more won't help | 90 90 90 90 20 | 	          | true  | false
          the cloud is slow, but in the end  | 261 90 90 90   |             | true  | true
          """)
  void late(String name, String ages, String seen, boolean counts, boolean hopeless) {
    BootTimeEstimator boots = new BootTimeEstimator();
    if (seen != null) {
      for (String time : seen.trim().split(" ")) {
        boots.cameUp("t", Double.parseDouble(time));
      }
    }
    boots.recount();
    String[] all = ages.trim().split(" ");
    for (String age : all) {
      boots.count("t", 40, Double.parseDouble(age));
    }
    double age = Double.parseDouble(all[0]);
    assertEquals(counts, boots.counts("t", 40, age), name);
    assertEquals(hopeless, boots.hopeless("t", 40, age), name);
  }
}
