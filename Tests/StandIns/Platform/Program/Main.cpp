#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include <LibBase/JsonReader.h>
#include <LibBase/Log.h>
#include <LibTable/HostJson.h>
#include <StandIns/Platform/PlatformService.h>

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

/// Serves the platform until SIGTERM or SIGINT.
/// @return the exit code
int
Serve(const Endpoint& aListen, std::vector<HostEntry> aHosts, Millis aHostLag)
{
  // Threads inherit the signal mask. The signals are blocked before any thread
  // starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  Platform platform(std::move(aHosts), aHostLag);
  auto server =
    HttpServer::Start({ { aListen }, 200 }, MakePlatformHandler(platform));
  if (!Succeeded(server)) {
    return Fail(ErrorOf(server));
  }
  LogEvent(LogLevel::Info, "listening", { { "address", ToText(aListen) } });
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-in for the platform: table service, object store and "
               "host list in memory");
  std::string listen;
  std::string hostsPath;
  unsigned hostLagMs = 0;
  app.add_option("--listen", listen, "address as IP:PORT")->required();
  app.add_option("--hosts", hostsPath, "file with the host list")->required();
  app.add_option(
    "--host-lag-ms", hostLagMs, "delay until the host list shows a change");
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging("standin-platform", LogLevel::Info);
  const Outcome<Endpoint> endpoint = ParseEndpoint(listen);
  if (!Succeeded(endpoint)) {
    return Fail(ErrorOf(endpoint));
  }
  Outcome<std::vector<HostEntry>> hosts = ReadHosts(hostsPath);
  if (!Succeeded(hosts)) {
    return Fail(ErrorOf(hosts));
  }
  return Serve(ValueOf(endpoint), std::move(ValueOf(hosts)), Millis(hostLagMs));
}
