#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>

#include <LibBase/Log.h>
#include <LibBase/Metrics.h>
#include <LibConfig/ConfigFollower.h>
#include <LibDocument/DaemonSettings.h>
#include <LibKernel/Registry.h>
#include <LibLease/LeaseKeeper.h>
#include <LibRpc/RpcClient.h>
#include <LibScheduler/Scheduler.h>
#include <LibTable/RpcPorts.h>

using namespace paddle;

namespace {

constexpr Millis kConfigPoll{ 1000 };
constexpr Millis kLeaveLimit{ 5000 };

int
Fail(const Error& aError)
{
  std::cerr << aError.mMessage << "\n";
  return 1;
}

Outcome<DaemonSettings>
ReadSettings(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return Error{ ErrorKind::NotFound,
                  "settings file " + aPath + " can't be read" };
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseDaemonSettings(aPath, text.str());
}

/// Differs each time a process starts, so that a restarted one is not taken
/// for its predecessor.
std::string
NewIncarnation()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

PromiseCaller
MakePromiseCaller(HttpClient& aClient)
{
  return [&aClient](const Endpoint& aPeer,
                    const Json::Value& aParameters,
                    Millis aTimeout) {
    return CallRpc(aClient, aPeer, "lease.promise", aParameters, aTimeout);
  };
}

int
Run(DaemonSettings aSettings, const sigset_t& aSignals)
{
  const auto policy =
    Registry<PlacementPolicy>::Instance().Find(aSettings.mPlacementPolicy);
  if (!Succeeded(policy)) {
    return Fail(ErrorOf(policy));
  }
  aSettings.mSelf.mRole = "scheduler";
  aSettings.mSelf.mIncarnation = NewIncarnation();
  HttpClient client({ "savorypaddle/" + aSettings.mSelf.mName });
  Metrics metrics;
  const TablePort table = MakeRpcTablePort(client, aSettings.mPlatform);
  LeaseKeeper keeper(
    aSettings.mLease, aSettings.mSelf, table, MakePromiseCaller(client));
  const ConfigFollower follower(table, kConfigPoll);
  const SchedulerPorts ports{ aSettings.mSelf,
                              table,
                              MakeRpcHostListPort(client, aSettings.mPlatform),
                              MakeLeasePort(keeper),
                              MakeConfigPort(follower),
                              &client,
                              &metrics };
  Scheduler scheduler(ports, ValueOf(policy), {});

  RpcMethods methods = scheduler.Methods();
  methods["lease.promise"] = [&keeper](const Json::Value& aParameters) {
    return keeper.HandlePromise(aParameters);
  };
  auto server = HttpServer::Start(
    { { aSettings.mSelf.mAddress }, 200 },
    MakeRpcHandler(methods, [&scheduler](const HttpRequest& aRequest) {
      return scheduler.Page(aRequest);
    }));
  if (!Succeeded(server)) {
    return Fail(ErrorOf(server));
  }
  keeper.SetQuiescent(
    [&scheduler](std::string_view) { return scheduler.Quiescent(); });
  LogEvent(LogLevel::Info,
           "listening",
           { { "address", ToText(aSettings.mSelf.mAddress) } });
  int signal = 0;
  sigwait(&aSignals, &signal);

  LogEvent(LogLevel::Info, "leaving", { { "signal", signal } });
  scheduler.BeginLeave();
  const bool handedOver = keeper.Leave(kLeaveLimit);
  ValueOf(server)->DrainAndStop(kLeaveLimit);
  // The keeper outlives the scheduler and may still ask.
  keeper.SetQuiescent([](std::string_view) { return true; });
  scheduler.Stop();
  LogEvent(LogLevel::Info, "stopped", { { "handed_over", handedOver } });
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Places batch jobs and service tasks on workers");
  std::string path;
  app.add_option("--settings", path, "settings file (JSON with comments)")
    ->required();
  CLI11_PARSE(app, aCount, aArguments);

  // Blocked before any thread starts, so that only sigwait() sees them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  Outcome<DaemonSettings> settings = ReadSettings(path);
  if (!Succeeded(settings)) {
    return Fail(ErrorOf(settings));
  }
  StartLogging(ValueOf(settings).mSelf.mName, ValueOf(settings).mLogLevel);
  return Run(std::move(ValueOf(settings)), signals);
}
