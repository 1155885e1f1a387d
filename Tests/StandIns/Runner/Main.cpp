#include <CLI/CLI.hpp>
#include <cstdio>

#include <StandIns/Runner/RunnerServer.h>

using namespace paddle;

int
main(int aCount, char** aArguments)
{
  CLI::App app("Plays every runner of a hosts file.", "standin-runner");
  std::string hostsFile;
  RunnerOptions options;
  unsigned watchMs = 2000;
  app.add_option("--hosts", hostsFile, "hosts file")->required();
  app.add_option("--seed", options.mSeed, "seed of the service times");
  app.add_option("--service-ms", options.mTimes.mMeanMs, "mean service time");
  app.add_option("--sigma", options.mTimes.mSigma, "log-normal sigma");
  app.add_option("--watch-ms", watchMs, "how long a watch is held");
  app.add_option("--watch-part",
                 options.mTimes.mWatchPathPart,
                 "part of the path of watches");
  CLI11_PARSE(app, aCount, aArguments);
  options.mTimes.mWatchDuration = Millis(watchMs);

  auto hosts = ReadRunnerHosts(hostsFile);
  if (!Succeeded(hosts)) {
    std::fprintf(stderr, "%s\n", ErrorOf(hosts).mMessage.c_str());
    return 1;
  }
  auto server = RunnerServer::Start(ValueOf(hosts), options);
  if (!Succeeded(server)) {
    std::fprintf(stderr, "%s\n", ErrorOf(server).mMessage.c_str());
    return 1;
  }
  ValueOf(server)->Run();
  return 0;
}
