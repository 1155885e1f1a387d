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

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <variant>

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
/// A play that takes this much longer than planned is ended.
constexpr unsigned kOvertimeS = 60;

/// Ends the nodes and this process on SIGINT, SIGTERM and SIGALRM.
class SignalWatch
{
public:
  /// Must be made before any other thread, which would get the signals.
  SignalWatch()
  {
    sigemptyset(&mSignals);
    for (const int signal : { SIGINT, SIGTERM, SIGALRM }) {
      sigaddset(&mSignals, signal);
    }
    ::pthread_sigmask(SIG_BLOCK, &mSignals, nullptr);
  }
  ~SignalWatch()
  {
    mStopped = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

  void Begin(NodeProcesses& aNodes)
  {
    mThread = std::thread([this, &aNodes] {
      while (!mStopped) {
        const timespec wait{ 0, 100'000'000 };
        const int signal = ::sigtimedwait(&mSignals, nullptr, &wait);
        if (signal > 0) {
          for (const std::unique_ptr<NodeProcess>& node : aNodes) {
            node->End();
          }
          std::fprintf(stderr, "soak: ended by signal %d\n", signal);
          ::_exit(kNotRun);
        }
      }
    });
  }

private:
  sigset_t mSignals{};
  std::atomic<bool> mStopped = false;
  std::thread mThread;
};

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
        std::fprintf(stderr,
                     "soak: node %s was not ready within %d s\n",
                     node->Name().c_str(),
                     static_cast<int>(kReadyMs / 1000));
        return false;
      }
      review::SleepMs(50);
    }
  }
  return true;
}

/// @return the exit status
int
Conclude(const Options& aOptions,
         const std::vector<Job>& aJobs,
         const std::vector<Run>& aRuns,
         const Verdict& aVerdict,
         const Trouble::Counts& aTrouble,
         Record& aRecord)
{
  int accepted = 0;
  int expected = 0; // To complete.
  int completed = 0;
  for (const Job& job : aJobs) {
    accepted += job.mAccepted ? 1 : 0;
    if (job.mAccepted && !job.mCancelSent && !job.mLongRunning &&
        !job.mRepeated) {
      ++expected;
      completed += job.mCompletedMs != 0 ? 1 : 0;
    }
  }
  int noted = 0;
  int late = 0;
  for (const Run& run : aRuns) {
    noted += run.mNotedMs != 0 ? 1 : 0;
    late += run.mLate ? 1 : 0;
  }
  const std::string summary = "seed=" + std::to_string(aOptions.mSeed) +
                              " jobs=" + std::to_string(aJobs.size()) +
                              " accepted=" + std::to_string(accepted) +
                              " expected=" + std::to_string(expected) +
                              " completed=" + std::to_string(completed) +
                              " runs=" + std::to_string(aRuns.size()) +
                              " started_late=" + std::to_string(late) +
                              " ends_noted=" + std::to_string(noted) +
                              " trouble=" + std::to_string(aTrouble.mEvents) +
                              " nodes_ended_themselves=" +
                              std::to_string(aTrouble.mNodesEndedThemselves) +
                              " excused=" + std::to_string(aVerdict.mExcused) +
                              " broken=" + std::to_string(aVerdict.mBroken);
  aRecord.Print(summary);
  std::printf("%s\n", summary.c_str());
  if (aVerdict.mBroken > 0) {
    return kBroken;
  }
  if (expected == 0 || 2 * completed < expected) {
    std::fprintf(stderr, "soak: fewer than half of the jobs completed\n");
    return kNotRun;
  }
  if (aTrouble.mNodesEndedThemselves > 0) {
    std::fprintf(stderr, "soak: a node ended by itself\n");
    return kNotRun;
  }
  return kHeld;
}

int
Play(const Options& aOptions, SignalWatch& aSignals)
{
  std::error_code error;
  std::filesystem::create_directories(aOptions.mFolder, error);
  Record record(aOptions.mFolder + "/record.txt");
  if (error || !record.IsOpen()) {
    std::fprintf(
      stderr, "soak: can't write into %s\n", aOptions.mFolder.c_str());
    return kNotRun;
  }
  Dice dice(aOptions.mSeed);
  review::Store store;
  WriteConfiguration(store);
  StoreGate gate(store.Port(), record, dice);
  Runs runs;
  Gangs gangs;
  RunnerWorld world{ store, record, runs,
                     gangs, dice,   aOptions.mTrouble.contains("outlive") };
  NodeProcesses nodes;
  constexpr int kPortsOfNode = 3;
  const std::uint16_t port = FreePorts(kPortsOfNode * aOptions.mNodes);
  for (int i = 0; i < aOptions.mNodes; ++i) {
    nodes.push_back(std::make_unique<NodeProcess>(
      i,
      static_cast<std::uint16_t>(port + kPortsOfNode * i),
      gate.Port(),
      aOptions.mFolder));
  }
  aSignals.Begin(nodes);
  TroubleTimes times;
  Trouble trouble(aOptions, world, nodes, gate, times);
  for (const std::unique_ptr<NodeProcess>& node : nodes) {
    node->Start();
  }
  if (!AwaitReady(nodes)) {
    return kNotRun;
  }
  const std::int64_t forMs = aOptions.mSeconds * std::int64_t{ 1000 };
  Clients clients(DrawJobs(dice, forMs + kBeginMs), nodes, record, dice);
  trouble.Begin(review::SteadyMs() + kBeginMs);
  clients.Begin();
  review::SleepMs(kBeginMs + forMs + kCalmMs);
  const std::vector<Job> jobs = clients.End();
  const Trouble::Counts counts = trouble.End();
  for (const std::unique_ptr<NodeProcess>& node : nodes) {
    node->End();
  }
  const std::vector<Run> all = runs.All();
  const Verdict verdict = CheckRuns(all, jobs, times.All(), gate, record);
  return Conclude(aOptions, jobs, all, verdict, counts, record);
}

} // namespace

} // namespace paddle::soak

int
main(int aCount, char** aArguments)
{
  using namespace paddle::soak;
  const auto parsed = ParseOptions(aCount, aArguments);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    std::fprintf(stderr, "soak: %s\n", error->c_str());
    return kNotRun;
  }
  const Options& options = std::get<Options>(parsed);
  if (options.mList) {
    for (const TroubleKind& kind : kTroubleKinds) {
      std::printf("%-8s %s%s\n",
                  kind.mName,
                  kind.mText,
                  kind.mByDefault ? "" : " (not by default)");
    }
    return kHeld;
  }
  SignalWatch signals;
  ::alarm(static_cast<unsigned>(options.mSeconds) +
          static_cast<unsigned>((kBeginMs + kCalmMs + kReadyMs) / 1000) +
          kOvertimeS);
  return Play(options, signals);
}
