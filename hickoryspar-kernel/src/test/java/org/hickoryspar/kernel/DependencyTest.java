package org.hickoryspar.kernel;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class DependencyTest {

  private static final JavaClasses KERNEL_CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.hickoryspar.kernel");

  /** Guards against I/O, clocks and threads in the kernel, which tests must replay from a seed. */
  @Test
  public void shouldKeepTheKernelFreeOfIoClocksAndThreads() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..", "java.nio.file..", "java.time..", "org.hickoryspar.node..")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(KERNEL_CLASSES);
  }
}
