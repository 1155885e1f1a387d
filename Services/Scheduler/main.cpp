#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>

#include <LibBase/Log.h>
#include <LibBase/Metrics.h>
#include <LibBase/ProcessSignals.h>
#include <LibConfig/ConfigFollower.h>
#include <LibDocument/DaemonSettings.h>
#include <LibKernel/Registry.h>
#include <LibLease/LeaseKeeper.h>
#include <LibRpc/RpcClient.h>
#include <LibScheduler/Scheduler.h>
#include <LibTable/RpcPorts.h>

using namespace paddle;

namespace {

/// Interval between reads of the configuration's revision.
constexpr Millis kConfigPollInterval{ 1000 };

/// The longest time for the hand-over of all shards after a signal to stop, and
/// then for the completion of the requests in progress.
constexpr Millis kLeaveTimeout{ 5000 };

/// Prints an error.
/// @return the exit status of the process
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

/// @return a random text that differs each time a process starts, so that a
///         restarted process is not taken for its predecessor
std::string
NewIncarnation()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

/// @return the function by which the lease keeper calls other schedulers
PromiseCaller
MakePromiseCaller(HttpClient& aClient)
{
  return [&aClient](const Endpoint& aPeer,
                    const Json::Value& aParameters,
                    Millis aTimeout) {
    return CallRpc(aClient, aPeer, "lease.promise", aParameters, aTimeout);
  };
}

/// Runs the scheduler until a signal arrives, then hands its shards over.
/// @param aSignals the signals that stop the process; blocked in all threads
/// @return the exit status of the process
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
  const ConfigFollower follower(table, kConfigPollInterval);
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
  const int signal = WaitForStopSignal(aSignals, [] {
    LogEvent(LogLevel::Warning,
             "reload_refused",
             { { "cause", "settings are read at the start only" } });
  });

  LogEvent(LogLevel::Info, "leaving", { { "signal", signal } });
  scheduler.BeginLeave();
  const bool handedOver = keeper.Leave(kLeaveTimeout);
  ValueOf(server)->DrainAndStop(kLeaveTimeout);
  // The keeper outlives the scheduler and may call this function after the
  // scheduler's end.
  keeper.SetQuiescent([](std::string_view) { return true; });
  scheduler.Stop();
  LogEvent(LogLevel::Info, "stopped", { { "handed_over", handedOver } });
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const sigset_t signals = BlockDaemonSignals();
  CLI::App app("Places batch jobs and service tasks on workers");
  std::string path;
  app.add_option("--settings", path, "settings file (JSON with comments)")
    ->required();
  CLI11_PARSE(app, aCount, aArguments);

  Outcome<DaemonSettings> settings = ReadSettings(path);
  if (!Succeeded(settings)) {
    return Fail(ErrorOf(settings));
  }
  StartLogging(ValueOf(settings).mSelf.mName, ValueOf(settings).mLogLevel);
  return Run(std::move(ValueOf(settings)), signals);
}
