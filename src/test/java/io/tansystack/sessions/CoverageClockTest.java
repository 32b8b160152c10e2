package io.tansystack.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.sessions.CoverageClock.Answer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CoverageClockTest {
  /**
   * Steps: {@code r10 a b-4} a round asked at 10 s and answered within a second, in which a has kept
   * everything for long and b for 4 s only; {@code i10} this controller was interrupted at 10 s; {@code
   * e10} a member ended at 10 s. The first round has nothing before it to count from but what is kept:
   * 100 s. A beat is 5 s.
   */
  @ParameterizedTest
  @CsvSource({
    "a b, r100 a b; r110 a b,                 110",
    "a b, i0; r100 a b; r110 a b,             110",
    "a b, i100; r100 a b; r110 a b,           10",
    "a b, i100; r110 a; r120 a; r130 a,       0", // b is silent: nobody knows what it has heard.
    "a b, i100; r110 a; r120 a b,             20", // It was cut off, and has kept everything.
    "a b, i100; r110 a; r120 a b-5; r130 a b, 14", // It stood still or started anew at 116 s.
    "a,   i100; r110 a; i118; r120 a,         12", // This one stood still until 118 s.
    "a,   i100; r110 a; e111; r114 a; r120 a, 14", // Who was attached there needs until 116 s.
    "a,   i100; r110 a; r110 a; r105 a,       10", // Nothing counts twice.
    "'',  i100; r110 a,                       0",
  })
  void countsWhatNothingCanHaveHidden(String members, String steps, long seconds) {
    CoverageClock clock = new CoverageClock(Duration.ofSeconds(5));
    Set<String> known = new TreeSet<>();
    for (String member : members.split(" ")) {
      if (!member.isEmpty()) {
        known.add(member);
      }
    }
    for (String step : steps.split("; *")) {
      String[] words = step.split(" ");
      Duration at = Duration.ofSeconds(Long.parseLong(words[0].substring(1)));
      switch (words[0].charAt(0)) {
        case 'i' -> clock.interrupted(at);
        case 'e' -> clock.memberEnded(at);
        default -> {
          Map<String, Answer> answers = new HashMap<>();
          for (int i = 1; i < words.length; i++) {
            String[] who = words[i].split("-");
            Duration keeps = Duration.ofSeconds(who.length > 1 ? Long.parseLong(who[1]) : 1000);
            Duration answered = at.plusSeconds(1);
            answers.put(
                who[0], new Answer(at, answered, keeps.compareTo(answered) < 0 ? keeps : answered));
          }
          clock.round(answers, known);
        }
      }
    }
    assertEquals(Duration.ofSeconds(seconds), clock.counted());
  }
}
