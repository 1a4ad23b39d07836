/** @file test_main.cc Entry point of all tests. Leaves out the cases that
 * KNOWN-RED.txt lists, unless GV_RUN_KNOWN_RED is set. */
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace {

/** Leaves out each case that a "test: NAME" line of the list names. */
void ExcludeKnownRed(doctest::Context& context) {
  const std::string prefix = "test: ";
  std::ifstream list(GV_SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string line; std::getline(list, line);) {
    if (line.rfind(prefix, 0) == 0) {
      const std::string name = line.substr(prefix.size());
      std::cout << "known red, not run: " << name << "\n";
      context.addFilter("test-case-exclude", name.c_str());
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  doctest::Context context(argc, argv);
  if (std::getenv("GV_RUN_KNOWN_RED") == nullptr) {
    ExcludeKnownRed(context);
  }
  return context.run();
}
