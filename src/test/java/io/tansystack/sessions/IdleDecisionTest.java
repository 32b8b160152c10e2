package io.tansystack.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.tansystack.sessions.IdleDecision.Decision;
import io.tansystack.sessions.IdleDecision.Known;
import io.tansystack.sessions.SessionRecord.State;
import io.tansystack.settings.IdlePolicy;
import io.tansystack.settings.SessionSettings;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class IdleDecisionTest {
  /** Idle 1800 s, 600 s where others wait; warned for 300 s; 60 s of grace; a life of one day. */
  private static IdlePolicy policy() throws Exception {
    return SessionSettings.parse("[sessions]\nlife_s = 86400\n").policy("c", "t", false);
  }

  @ParameterizedTest
  @CsvSource({
    // state, warned for, idle, offered, since return, age, wanted, what follows
    "ACTIVE,'',0,0,5000,5000,false,STAY ",
    "ACTIVE,'',1799,0,5000,5000,false,STAY ",
    "ACTIVE,'',1800,0,5000,5000,false,WARN idle",
    "ACTIVE,'',599,0,5000,5000,true,STAY ",
    "ACTIVE,'',600,0,5000,5000,true,WARN idle and wanted",
    "ACTIVE,'',1800,0,5000,5000,true,WARN idle",
    "ACTIVE,'',1800,0,59,5000,true,STAY ", // Its owner has just come back and done nothing yet.
    "ACTIVE,'',0,0,5000,86400,false,WARN at the end of its life",
    "ACTIVE,'',0,0,5,86400,false,WARN at the end of its life",
    "WARNED,idle,1900,299,5000,5000,false,STAY ",
    "WARNED,idle,2100,300,5000,5000,false,RECLAIM idle",
    "WARNED,idle,3,300,5000,5000,false,RESUME in use",
    "WARNED,idle,3,299,3,5000,true,RESUME in use",
    "WARNED,idle and wanted,800,200,5000,5000,true,STAY ",
    "WARNED,idle and wanted,900,300,5000,5000,true,RECLAIM idle and wanted",
    "WARNED,idle and wanted,800,200,5000,5000,false,RESUME nobody waits for it any more",
    "WARNED,idle and wanted,1850,200,5000,5000,false,STAY ", // It is idle for long enough by now.
    "WARNED,at the end of its life,0,299,5000,86700,false,STAY ",
    "WARNED,at the end of its life,0,300,5000,86700,false,RECLAIM at the end of its life",
    "RECLAIMING,idle,0,900,5000,5000,true,STAY ",
    "RECLAIMED,idle,9000,900,5000,5000,true,STAY ",
    "CLOSED,done,9000,900,5000,5000,true,STAY ",
  })
  void whatFollows(
      State state, String warnedFor, long idle, long offered, long sinceReturn, long age,
      boolean wanted, String expected)
      throws Exception {
    Decision decision =
        IdleDecision.decide(
            policy(),
            new Known(
                state,
                warnedFor,
                Duration.ofSeconds(idle),
                Duration.ofSeconds(offered),
                Duration.ofSeconds(sinceReturn),
                Duration.ofSeconds(age),
                wanted));
    assertEquals(expected.strip(), (decision.step() + " " + decision.reason()).strip());
  }
}
