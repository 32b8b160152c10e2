package io.tansystack;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Packages are by concern: whoever reads one must not need those that build on it. */
class PackagesTest {
  private static final Path SOURCES = Path.of("src/main/java/io/tansystack");
  private static final Pattern IMPORT =
      Pattern.compile("^import (?:static )?io\\.tansystack\\.([a-z]+)\\.", Pattern.MULTILINE);

  private static Map<String, Set<String>> imports() throws IOException {
    Map<String, Set<String>> imports = new TreeMap<>();
    try (Stream<Path> walk = Files.walk(SOURCES)) {
      for (Path file : walk.filter(p -> p.toString().endsWith(".java")).toList()) {
        String from = SOURCES.relativize(file).getName(0).toString();
        Set<String> to = imports.computeIfAbsent(from, k -> new TreeSet<>());
        Matcher matcher = IMPORT.matcher(Files.readString(file));
        while (matcher.find()) {
          to.add(matcher.group(1));
        }
        to.remove(from);
      }
    }
    return imports;
  }

  @Test
  void noPackageNeedsOneThatBuildsOnIt() throws IOException {
    Map<String, Set<String>> imports = imports();
    assertTrue(imports.size() > 5, imports.keySet().toString());
    // What imports nothing that is left can't be part of a circle.
    boolean shrunk = true;
    while (shrunk) {
      List<String> free =
          imports.keySet().stream()
              .filter(name -> imports.get(name).stream().noneMatch(imports::containsKey))
              .toList();
      free.forEach(imports::remove);
      shrunk = !free.isEmpty();
    }
    assertEquals(Map.of(), imports, "packages in a circle, and those that need them");
  }
}
