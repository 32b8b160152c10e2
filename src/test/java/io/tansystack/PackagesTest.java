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

/**
 * Imports between the packages must form no cycle, so that a package can be read without those that
 * build on it.
 */
class PackagesTest {
  private static final Path SOURCES = Path.of("src/main/java/io/tansystack");
  private static final Pattern IMPORT =
      Pattern.compile("^import (?:static )?io\\.tansystack\\.([a-z]+)\\.", Pattern.MULTILINE);

  private static Map<String, Set<String>> importsByPackage() throws IOException {
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
  void packageDependenciesHaveNoCycles() throws IOException {
    Map<String, Set<String>> imports = importsByPackage();
    assertTrue(imports.size() > 5, imports.keySet().toString());
    // Removes packages that import none of the remaining ones: they are not on a cycle.
    boolean removedAny = true;
    while (removedAny) {
      List<String> independent =
          imports.keySet().stream()
              .filter(name -> imports.get(name).stream().noneMatch(imports::containsKey))
              .toList();
      independent.forEach(imports::remove);
      removedAny = !independent.isEmpty();
    }
    assertEquals(Map.of(), imports, "packages on an import cycle, and those that import them");
  }
}
