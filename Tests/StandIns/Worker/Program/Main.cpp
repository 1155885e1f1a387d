#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include <LibBase/JsonReader.h>
#include <LibBase/Log.h>
#include <LibTable/HostJson.h>
#include <StandIns/Worker/FleetService.h>

using namespace paddle;

namespace {

/// Prints the error.
/// @return the exit code of a failed start
int
Fail(const Error& aError)
{
  std::cerr << aError.mMessage << "\n";
  return 1;
}

Outcome<std::vector<HostEntry>>
ReadHosts(const std::string& aPath)
{
  const Outcome<JsonText> text = ReadJsonFile(aPath);
  if (!Succeeded(text)) {
    return ErrorOf(text);
  }
  return ParseHosts(ValueOf(text).mRoot);
}

/// Serves the workers until SIGTERM or SIGINT.
/// @return the exit code
int
Serve(const std::vector<HostEntry>& aHosts, std::uint64_t aSeed, double aSpeed)
{
  // Threads inherit the signal mask. The signals are blocked before any thread
  // starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  Fleet fleet(aHosts, aSeed, aSpeed);
  auto server = ServeFleet(fleet, aHosts);
  if (!Succeeded(server)) {
    return Fail(ErrorOf(server));
  }
  LogEvent(LogLevel::Info, "listening", { { "hosts", aHosts.size() } });
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-in for workers: plays every worker of a host list");
  std::string hostsPath;
  std::uint64_t seed = 1;
  app.add_option("--hosts", hostsPath, "file with the host list")->required();
  app.add_option("--seed", seed, "decides true run times and use");
  double speed = 1;
  app.add_option("--speed", speed, "seconds of work done in a second")
    ->check(CLI::Range(0.001, 1e6));
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging("standin-worker", LogLevel::Info);
  const Outcome<std::vector<HostEntry>> hosts = ReadHosts(hostsPath);
  if (!Succeeded(hosts)) {
    return Fail(ErrorOf(hosts));
  }
  return Serve(ValueOf(hosts), seed, speed);
}
