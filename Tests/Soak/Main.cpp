// Plays real processes of the node under trouble and checks that no task runs
// twice (Check.h has the rule). The store, the runners and the clients are
// stand-ins within this process; everything talks over TCP on 127.0.0.1.
//
//   build/Tests/Soak/soak --seed 7 --seconds 60 --folder soak-7
//
// --nodes N (3) and --runners N (12) set the deployment, --trouble LIST the
// kinds of trouble, separated by commas; --list shows them. After the time of
// trouble, a calm of 15 s lets late orders arrive and jobs end. The folder gets
// record.txt, and the settings and the log of each node. The seed determines
// the jobs and the events; real processes still differ in their timing, so that
// a breach may need several plays to be seen again.
//
// Exit status: 0: the rule held, 1: it was broken, 2: the play could not run,
// or too little was done for a verdict.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

#include "Check.h"
#include "Clients.h"
#include "Http.h"
#include "NodeProcess.h"
#include "Options.h"
#include "Record.h"
#include "Runner.h"
#include "Store.h"
#include "StoreGate.h"
#include "Trouble.h"

namespace paddle::soak {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Time until the first trouble, in which the nodes find the runners.
constexpr std::int64_t kBeginMs = 4000;
constexpr std::int64_t kCalmMs = 15000;
constexpr std::int64_t kReadyMs = 15000;

/// The signals that end a play. The main thread waits for them; they are
/// blocked in all threads.
sigset_t
EndingSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGINT, SIGTERM, SIGALRM }) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/// Waits for a time.
/// @return whether no signal came that ends the play
bool
Wait(std::int64_t aMs)
{
  const sigset_t signals = EndingSignals();
  const timespec time{ aMs / 1000, aMs % 1000 * 1'000'000 };
  const int signal = ::sigtimedwait(&signals, nullptr, &time);
  if (signal > 0) {
    std::fprintf(stderr, "soak: ended by signal %d\n", signal);
  }
  return signal < 0;
}

/// Writes what the operators configure.
void
WriteConfiguration(review::Store& aStore)
{
  aStore.Write(
    "op",
    "config",
    R"({"version":7,"routes":[{"name":"desk-orders","host":"desk.example",)"
    R"("path_prefix":"/desk/","type":"unsafe","timeout_ms":3000,)"
    R"("target_duration_ms":1000,"priority":0,"service":"desk",)"
    R"("max_attempts":4,"stretch":1.5,"allowed_regions":[]}],"services":)"
    R"([{"name":"desk","health_path":"/health","max_conns":64,)"
    R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,)"
    R"("preconditions":false,"standby":false}],"limits":)"
    R"({"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

bool
AwaitReady(const NodeProcesses& aNodes)
{
  const std::int64_t untilMs = review::SteadyMs() + kReadyMs;
  for (const std::unique_ptr<NodeProcess>& node : aNodes) {
    while (!node->IsReady()) {
      if (review::SteadyMs() > untilMs) {
        std::fprintf(stderr, "soak: %s is not ready\n", node->Name().c_str());
        return false;
      }
      if (!Wait(50)) {
        return false;
      }
    }
  }
  return true;
}

/// @return the exit status
int
Conclude(const Options& aOptions,
         const std::vector<Job>& aJobs,
         const Verdict& aVerdict,
         const Trouble& aTrouble,
         Record& aRecord)
{
  std::size_t accepted = 0;
  std::size_t expected = 0; // To complete.
  std::size_t completed = 0;
  for (const Job& job : aJobs) {
    accepted += job.mAccepted ? 1 : 0;
    if (job.mAccepted && !job.mCancelSent && !job.mLongRunning &&
        !job.mRepeated) {
      ++expected;
      completed += job.mCompletedMs != 0 ? 1 : 0;
    }
  }
  std::size_t noted = 0;
  std::size_t late = 0;
  const std::vector<Run> runs = aRecord.Runs();
  for (const Run& run : runs) {
    noted += run.mNotedMs != 0 ? 1 : 0;
    late += run.mLate ? 1 : 0;
  }
  std::ostringstream summary;
  summary << "seed=" << aOptions.mSeed << " jobs=" << aJobs.size()
          << " accepted=" << accepted << " expected=" << expected
          << " completed=" << completed << " runs=" << runs.size()
          << " started_late=" << late << " ends_noted=" << noted
          << " trouble=" << aTrouble.Events()
          << " nodes_ended_themselves=" << aTrouble.NodesEndedThemselves()
          << " excused=" << aVerdict.mExcused << " broken=" << aVerdict.mBroken;
  aRecord.Write({}, summary.str());
  std::printf("%s\n", summary.str().c_str());
  if (aVerdict.mBroken > 0) {
    return kBroken;
  }
  if (expected == 0 || 2 * completed < expected ||
      aTrouble.NodesEndedThemselves() > 0) {
    std::fprintf(stderr,
                 "soak: fewer than half of the jobs completed, or a node ended "
                 "by itself\n");
    return kNotRun;
  }
  return kHeld;
}

int
Play(const Options& aOptions)
{
  std::error_code error;
  std::filesystem::create_directories(aOptions.mFolder, error);
  Record record(aOptions.mFolder + "/record.txt");
  if (!record.IsOpen()) {
    std::fprintf(
      stderr, "soak: can't write into %s\n", aOptions.mFolder.c_str());
    return kNotRun;
  }
  Dice dice(aOptions.mSeed);
  review::Store store;
  WriteConfiguration(store);
  StoreGate gate(store.Port(), record, dice);
  Gangs gangs;
  RunnerWorld world{ store, record, gangs, dice };
  world.mOrdersOutliveProcess = std::count(aOptions.mTrouble.begin(),
                                           aOptions.mTrouble.end(),
                                           std::string(kOutlive)) > 0;
  NodeProcesses nodes;
  constexpr int kPortsOfNode = 3;
  const int port = FreePorts(kPortsOfNode * aOptions.mNodes);
  for (int i = 0; i < aOptions.mNodes; ++i) {
    nodes.push_back(std::make_unique<NodeProcess>(
      i, port + kPortsOfNode * i, gate.Port(), aOptions.mFolder));
    nodes.back()->Start();
  }
  Trouble trouble(aOptions, world, nodes, gate);
  if (!AwaitReady(nodes)) {
    return kNotRun;
  }
  const std::int64_t forMs =
    kBeginMs + aOptions.mSeconds * std::int64_t{ 1000 };
  Clients clients(DrawJobs(dice, forMs), nodes, record, dice);
  trouble.Begin(review::SteadyMs() + kBeginMs);
  clients.Begin();
  const bool played = Wait(forMs + kCalmMs);
  trouble.End();
  const std::vector<Job> jobs = clients.End();
  nodes.clear();
  if (!played) {
    return kNotRun;
  }
  const Verdict verdict = CheckRuns(jobs, gate, record);
  return Conclude(aOptions, jobs, verdict, trouble, record);
}

} // namespace

} // namespace paddle::soak

int
main(int aCount, char** aArguments)
{
  using namespace paddle::soak;
  Options options;
  const int status = ParseOptions(aCount, aArguments, options);
  if (status >= 0) {
    return status;
  }
  const sigset_t signals = EndingSignals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return Play(options);
}
