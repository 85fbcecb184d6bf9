package org.hickoryspar.node.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CacheFileTest {

  private static final byte[] CONTENTS = "contents".getBytes(StandardCharsets.UTF_8);

  private Path folder = Path.of("");

  @BeforeMethod
  void createFolder() throws IOException {
    folder = Files.createTempDirectory("cache");
  }

  private CacheFile cache() {
    return new CacheFile(new SystemFileOperations(), folder, "name");
  }

  /** Guards against a cache whose contents cannot be read back. */
  @Test
  void shouldReadLatestContents() throws IOException {
    cache().write(new byte[] {1});
    cache().write(CONTENTS);

    assertEquals(cache().read().orElseThrow(), CONTENTS);
  }

  /** Guards against a first start that fails because there is no cache yet. */
  @Test
  void shouldReadNothingWhenFileIsMissing() {
    assertTrue(cache().read().isEmpty());
  }

  @DataProvider
  Object[][] truncatedSizes() {
    return new Object[][] {{0}, {4}, {8}, {12}};
  }

  /** Guards against the use of a file that was truncated by a power failure. */
  @Test(dataProvider = "truncatedSizes")
  void shouldReadNothingWhenFileIsTruncated(int keptBytes) throws IOException {
    cache().write(CONTENTS);
    Path file = folder.resolve("name" + CacheFile.SUFFIX);
    Files.write(file, Arrays.copyOf(Files.readAllBytes(file), keptBytes));

    assertTrue(cache().read().isEmpty());
  }

  /** Guards against a replica that cannot be created because its folder contains a cache file. */
  @Test
  void shouldInitialiseReplicaWhenFolderContainsOnlyCache() throws IOException {
    cache().write(CONTENTS);
    ReplicaFolder replica = new ReplicaFolder(new SystemFileOperations(), folder, "c", "i");

    assertTrue(replica.initialise(java.util.List.of("i")).isSuccess());
  }
}
