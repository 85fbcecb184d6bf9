package org.hickoryspar.kernel.fleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class PurityTest {

  /** Guards against I/O and clocks in the package, which would make replicas diverge. */
  @Test
  public void shouldNotDependOnIoOrClocks() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..", "java.nio.file..", "java.time..", "java.util.concurrent..")
        .orShould()
        .dependOnClassesThat()
        .haveNameMatching("java\\.io\\.(File|.*Stream|.*Reader|.*Writer).*")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .check(
            new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("org.hickoryspar.kernel.fleet"));
  }
}
