#include <string>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int aCount, char** aArguments)
{
  // The leak check of CppUTest is off. It would report the caches of cxxtools
  // and log4cplus as leaks of the test that uses them first, although they are
  // kept for later tests.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
