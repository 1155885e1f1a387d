#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

/// @return the tests that PADDLE_KNOWN_RED names, in the form GROUP.NAME and
///         separated by spaces; Meta/test sets it from KNOWN-RED.txt
std::vector<std::string>
KnownFailures()
{
  const char* names = std::getenv("PADDLE_KNOWN_RED");
  std::istringstream text(names != nullptr ? names : "");
  std::vector<std::string> tests;
  for (std::string name; text >> name;) {
    tests.push_back(name);
  }
  return tests;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // The leak check of CppUTest is off. It would report the caches of cxxtools
  // and log4cplus as leaks of the test that uses them first, although they are
  // kept for later tests.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  const std::vector<std::string> excluded = KnownFailures();
  std::vector<const char*> arguments(aArguments, aArguments + aCount);
  for (const std::string& name : excluded) {
    arguments.push_back("-xt");
    arguments.push_back(name.c_str());
  }
  return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()),
                                            arguments.data());
}
