// Plays a case of the review: `review-cases CASE FOLDER`. It starts the node of
// the deploy file as a process of its own, with stand-ins for the store, the
// runners and a client, writes FOLDER/record.txt, and exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case couldn't run. Without trouble
// (TROUBLE=0), it does the same without the disruption.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "Http.h"
#include "Runner.h"
#include "Store.h"

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr const char* kHost = "desk.example";
constexpr const char* kPrefix = "/desk/";

/// A case that takes longer than this is ended.
constexpr unsigned kLongestCaseS = 118;

/// The node's process; 0: there is none.
std::atomic<pid_t> sNodePid = 0;

/// Ends the node and this process.
void
EndAll(int)
{
  if (sNodePid > 0) {
    ::kill(sNodePid, SIGKILL);
  }
  ::_exit(kNotRun);
}

/// The process of a node, with its settings in a temporary folder.
class Node
{
public:
  Node(const std::string& aName, std::uint16_t aStorePort)
  {
    std::string folder =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    mFolder = ::mkdtemp(folder.data());
    const std::string settings = mFolder + "/settings.conf";
    const auto address = [](std::uint16_t aPort) {
      return "127.0.0.1:" + std::to_string(aPort) + "\n";
    };
    std::ofstream(settings)
      << "node_name=" << aName
      << "\nrole=node\nmachine_class=front\nserves=front,control\n"
         "ip=127.0.0.1\nzone=a\nregion=r\nzones.a=r\nlisten_addrs.front="
      << address(mClientPort)
      << "listen_addrs.ready_addr=" << address(mReadyPort)
      << "listen_addrs.control=" << address(mControlPort)
      << "bootstrap=true\nlimits.cpu_share=0.1\nlimits.cpu_cores=1\n"
         "limits.memory_mb=260\nlimits.max_fds=4100\n"
         "limits.link_mbps=1000.0\ndiscovery=platform\nentry=vip\n"
         "heartbeat_ms=1500\nbounds.grace_s=6\nbounds.visible_ms=3000\n"
         "bounds.max_hold_ms=6000\nbounds.stop_timeout_ms=200\n"
         "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
         "bounds.remote_factor=3\nbounds.harm_ms=4000\ncommands=rpc\n"
         "platform.form=table\nplatform.cross_shard=true\n"
         "platform.address="
      << address(aStorePort);
    Start();
  }

  /// Starts the process.
  void Start()
  {
    const std::string settings = mFolder + "/settings.conf";
    const std::string log = mFolder + "/log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = "target/savorypaddle-node";
    std::string variable = "SAVORYPADDLE_CONFIG=" + settings;
    std::array<char*, 2> arguments{ program.data(), nullptr };
    std::array<char*, 2> variables{ variable.data(), nullptr };
    if (::posix_spawn(&mPid,
                      program.c_str(),
                      &actions,
                      nullptr,
                      arguments.data(),
                      variables.data()) != 0) {
      mPid = -1;
    }
    sNodePid = mPid;
    posix_spawn_file_actions_destroy(&actions);
  }

  void Kill()
  {
    if (mPid > 0) {
      sNodePid = 0;
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

  ~Node()
  {
    Kill();
    if (std::getenv("KEEP_LOG") == nullptr) {
      std::filesystem::remove_all(mFolder);
    }
  }

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  [[nodiscard]] std::uint16_t ClientPort() const { return mClientPort; }

  /// @return whether the node is ready for clients within the time
  [[nodiscard]] bool AwaitReady(std::int64_t aTimeoutMs) const
  {
    const std::int64_t until = SteadyMs() + aTimeoutMs;
    while (mPid > 0 && SteadyMs() < until) {
      if (Call(mReadyPort, "GET", "node", "/savorypaddle/ready", {}, 500) ==
          200) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

private:
  std::string mFolder;
  std::uint16_t mClientPort = FreePort();
  std::uint16_t mReadyPort = FreePort();
  std::uint16_t mControlPort = FreePort();
  pid_t mPid = -1;
};

/// A store, runners in one rack, and a node.
struct Deployment
{
  /// @param aLabelled number of runners that have the label "x", the others
  ///                  have "a"
  Deployment(const std::string& aFolder, int aRunners, int aLabelled = 0)
    : mRecord(aFolder + "/record.txt")
  {
    mStore.Write(
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
    for (int i = 1; i <= aRunners; ++i) {
      mRunners.push_back(std::make_unique<Runner>("i-" + std::to_string(i),
                                                  i <= aLabelled ? "x" : "a",
                                                  mStore,
                                                  mRuns,
                                                  mGangs,
                                                  mRecord));
    }
    mNode = std::make_unique<Node>("front-a-1", mStore.Port());
  }

  /// Submits a job until it is answered, as clients do.
  /// @return whether it was accepted
  bool Submit(const std::string& aId, const std::string& aBody)
  {
    const std::string path = kPrefix + aId;
    const std::string line = "submit " + aId + " " + aBody + " status=";
    for (int attempt = 0; attempt < 5; ++attempt) {
      const int status =
        Call(mNode->ClientPort(), "POST", kHost, path, aBody, 3000);
      mRecord.Write(line + std::to_string(status));
      if (status == 200) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

  [[nodiscard]] std::string State(const std::string& aId) const
  {
    std::string body;
    const int status =
      Call(mNode->ClientPort(), "GET", kHost, kPrefix + aId, {}, 3000, &body);
    return std::to_string(status) + " " + body;
  }

  Record mRecord;
  Runs mRuns;
  Gangs mGangs;
  Store mStore;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::unique_ptr<Node> mNode;
};

std::string
JobId(int aNumber)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x", 0x5c000000U + aNumber);
  return text.data();
}

/// @return the body of a job of one step
std::string
Body(int aTasks, int aCpu, int aDurationMs, const std::string& aMore)
{
  return R"({"spec":"ms=)" + std::to_string(aDurationMs) +
         R"(","steps":[{"count":)" + std::to_string(aTasks) +
         ",\"cpu\":" + std::to_string(aCpu) +
         ",\"mem_mb\":1000,\"estimate_ms\":" + std::to_string(aDurationMs) +
         aMore + "}]}";
}

/// Checks the rule TWICE as far as the cases need it.
/// @param aSpeculative whether copies may run in parallel, so that only a start
///                     over a second after a noted end counts
/// @return the number of starts that break it
int
CountRepeated(Deployment& aDeployment, bool aSpeculative)
{
  const std::vector<Run> runs = aDeployment.mRuns.All();
  const std::int64_t slackMs = aSpeculative ? 1000 : 0;
  int broken = 0;
  for (const Run& later : runs) {
    for (const Run& earlier : runs) {
      if (earlier.mTask != later.mTask || earlier.mHow != "done" ||
          earlier.mNotedMs == 0 || later.mStartedMs < earlier.mEndedMs ||
          &earlier == &later ||
          (aSpeculative && later.mStartedMs <= earlier.mNotedMs + slackMs)) {
        continue;
      }
      ++broken;
      aDeployment.mRecord.Write(
        "TWICE " + later.mTask + ": run " + std::to_string(earlier.mNumber) +
        " on " + earlier.mRunner + " had ended done, and that was noted " +
        std::to_string(later.mStartedMs - earlier.mNotedMs) +
        " ms before (below 0: after) run " + std::to_string(later.mNumber) +
        " started on " + later.mRunner);
    }
  }
  return broken;
}

/// Submits a job every some milliseconds until a time.
/// @return the ids of those that were accepted
std::vector<std::string>
SubmitUntil(Deployment& aDeployment,
            std::int64_t aUntilMs,
            std::int64_t aPauseMs,
            const std::string& aBody)
{
  std::vector<std::string> accepted;
  for (int number = 0; SteadyMs() < aUntilMs; ++number) {
    const std::int64_t nextMs = SteadyMs() + aPauseMs;
    if (aDeployment.Submit(JobId(number), aBody)) {
      accepted.push_back(JobId(number));
    }
    SleepMs(std::max<std::int64_t>(0, nextMs - SteadyMs()));
  }
  return accepted;
}

int
Conclude(Deployment& aDeployment,
         const std::vector<std::string>& aJobs,
         bool aSpeculative)
{
  constexpr std::int64_t kAskForMs = 10000;
  const std::int64_t untilMs = SteadyMs() + kAskForMs;
  int asked = 0;
  int completed = 0;
  for (const std::string& job : aJobs) {
    if (SteadyMs() >= untilMs) {
      break;
    }
    ++asked;
    const std::string state = aDeployment.State(job);
    completed += state.find("completed") != std::string::npos ? 1 : 0;
  }
  const int broken = CountRepeated(aDeployment, aSpeculative);
  const std::string summary =
    "jobs=" + std::to_string(aJobs.size()) + " asked=" + std::to_string(asked) +
    " completed=" + std::to_string(completed) +
    " runs=" + std::to_string(aDeployment.mRuns.Count()) +
    " broken=" + std::to_string(broken);
  aDeployment.mRecord.Write(summary);
  std::printf("%s\n", summary.c_str());
  if (broken > 0) {
    return kBroken;
  }
  return completed > 0 ? kHeld : kNotRun;
}

/// @return the runner on which most tasks work
Runner&
BusiestRunner(Deployment& aDeployment)
{
  std::map<std::string, int> working;
  for (const Run& run : aDeployment.mRuns.All()) {
    working[run.mRunner] += run.mEndedMs == 0 ? 1 : 0;
  }
  Runner* busiest = aDeployment.mRunners.front().get();
  for (const std::unique_ptr<Runner>& runner : aDeployment.mRunners) {
    if (working[runner->Id()] > working[busiest->Id()]) {
      busiest = runner.get();
    }
  }
  return *busiest;
}

/// For 5.5 s, runners leave some orders unanswered and carry them out 6 s
/// later: the busiest runner the calls that ask it for ends, for the first 3 s,
/// and the others the orders to start or stop the tasks that work there.
void
LeaveOrdersUnanswered(Deployment& aDeployment)
{
  constexpr std::int64_t kWindowMs = 5500;
  constexpr std::int64_t kWithoutEndsMs = 3000;
  constexpr std::int64_t kDelayMs = 6000;
  const Runner& busiest = BusiestRunner(aDeployment);
  std::set<std::string> tasks;
  for (const Run& run : aDeployment.mRuns.All()) {
    if (run.mRunner == busiest.Id() && run.mEndedMs == 0) {
      tasks.insert(run.mTask);
    }
  }
  aDeployment.mRecord.Write("orders are left unanswered, busiest runner " +
                            busiest.Id());
  const std::int64_t beginMs = SteadyMs();
  for (const std::unique_ptr<Runner>& runner : aDeployment.mRunners) {
    if (runner.get() == &busiest) {
      runner->Disrupt([beginMs](const Request& aRequest) {
        const bool late = aRequest.mPath == "/savorypaddle/hold" &&
                          SteadyMs() < beginMs + kWithoutEndsMs;
        return Runner::Lateness{ late, kDelayMs };
      });
      continue;
    }
    runner->Disrupt([tasks](const Request& aRequest) {
      const bool late =
        (aRequest.mPath == "/savorypaddle/run-start" ||
         aRequest.mPath == "/savorypaddle/run-stop") &&
        std::any_of(tasks.begin(), tasks.end(), [&](const std::string& aTask) {
          return aRequest.mBody.find("\"" + aTask + "\"") != std::string::npos;
        });
      return Runner::Lateness{ late, kDelayMs };
    });
  }
  SleepMs(kWindowMs);
  for (const std::unique_ptr<Runner>& runner : aDeployment.mRunners) {
    runner->Disrupt(nullptr);
  }
}

/// Runners leave orders unanswered and carry them out late, four times, while
/// jobs run whose tasks may be copied.
int
PlayCopies(const std::string& aFolder, bool aTrouble)
{
  constexpr int kRunners = 10;
  constexpr int kRounds = 4;
  Deployment deployment(aFolder, kRunners);
  if (!deployment.mNode->AwaitReady(15000)) {
    return kNotRun;
  }
  const std::int64_t beginMs = SteadyMs();
  std::thread trouble([&] {
    for (int round = 0; round < kRounds && aTrouble; ++round) {
      SleepMs(4000);
      LeaveOrdersUnanswered(deployment);
    }
  });
  const std::vector<std::string> jobs =
    SubmitUntil(deployment,
                beginMs + 38000,
                120,
                Body(4, 2000, 1500, ",\"speculative\":true"));
  trouble.join();
  SleepMs(20000);
  return Conclude(deployment, jobs, true);
}

/// Each runner has a lasting task, and tasks of 0.15 s come eight at a time,
/// every 1.5 s. The host of the runner that got the last ones loses power for
/// 0.4 s, and the runner starts again under its id and is listed at once.
int
PlayReborn(const std::string& aFolder, bool aTrouble)
{
  constexpr int kRunners = 8;
  constexpr std::int64_t kDownMs = 400;
  constexpr std::int64_t kBurstMs = 1500;
  constexpr std::int64_t kPhaseMs = 1000;
  constexpr int kBursts = 40;
  constexpr int kBurstsBetween = 4;
  Deployment deployment(aFolder, kRunners);
  if (!deployment.mNode->AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(4000);
  deployment.Submit(
    JobId(900000),
    R"({"spec":"ms=900000000","steps":[{"count":8,"cpu":1000,"mem_mb":1000,)"
    R"("estimate_ms":1000,"long_running":true,"anti_affinity":1}]})");
  SleepMs(2000);
  std::vector<std::string> jobs;
  for (int burst = 0; burst < kBursts; ++burst) {
    const std::int64_t beginMs = SteadyMs();
    if (deployment.Submit(JobId(burst), Body(8, 500, 150, {}))) {
      jobs.push_back(JobId(burst));
    }
    const bool crashes = aTrouble && burst % kBurstsBetween == 2;
    SleepMs(std::max<std::int64_t>(0, beginMs + kPhaseMs - SteadyMs()));
    if (crashes) {
      Runner* last = deployment.mRunners.front().get();
      for (const Run& run : deployment.mRuns.All()) {
        for (const std::unique_ptr<Runner>& runner : deployment.mRunners) {
          last =
            run.mTask.starts_with(JobId(burst)) && run.mRunner == runner->Id()
              ? runner.get()
              : last;
        }
      }
      last->LosePower(kDownMs);
    }
    SleepMs(std::max<std::int64_t>(0, beginMs + kBurstMs - SteadyMs()));
  }
  SleepMs(12000);
  return Conclude(deployment, jobs, false);
}

/// A gang whose members fit on one runner is submitted, while all runners are
/// in another region than the node: an order and its answer take 24 ms.
int
PlayGang(const std::string& aFolder, bool aTrouble)
{
  constexpr int kRunners = 4;
  constexpr int kMembers = 200;
  constexpr std::int64_t kRoundTripMs = 24;
  Deployment deployment(aFolder, kRunners);
  if (!deployment.mNode->AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(3000);
  for (const std::unique_ptr<Runner>& runner : deployment.mRunners) {
    runner->SetRoundTrip(aTrouble ? kRoundTripMs : 0);
  }
  SleepMs(4000);
  const std::string job = JobId(1);
  const std::string members = std::to_string(kMembers);
  if (!deployment.Submit(job,
                         R"({"spec":"ms=500 gang=)" + members +
                           R"(","steps":[{"count":)" + members +
                           R"(,"cpu":75,"mem_mb":100,"estimate_ms":500,)"
                           R"("gang":true}]})")) {
    return kNotRun;
  }
  SleepMs(40000);
  const std::string state = deployment.State(job);
  int alone = 0;
  for (const Run& run : deployment.mRuns.All()) {
    alone += run.mHow == "alone" ? 1 : 0;
  }
  const std::string summary =
    "state=" + state + " runs=" + std::to_string(deployment.mRuns.Count()) +
    " alone=" + std::to_string(alone);
  deployment.mRecord.Write(summary);
  std::printf("%s\n", summary.c_str());
  return alone > 0 ? kBroken : kHeld;
}

/// A lasting task loses its runner. The only other one with its label has a
/// finite task of 70 s and too little room for it, but room for small work.
int
PlayHeld(const std::string& aFolder, bool aTrouble)
{
  constexpr int kRunners = 8;
  constexpr std::int64_t kFinishMs = 14000;
  constexpr std::int64_t kIdleMs = 3000;
  Deployment deployment(aFolder, kRunners, 2);
  if (!deployment.mNode->AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(4000);
  const auto body = [](const std::string& aSpec, const std::string& aStep) {
    return R"({"spec":")" + aSpec + R"(","steps":[{"count":1,"requires":"x",)" +
           aStep + "}]}";
  };
  const std::string lasting = JobId(1);
  const std::string small = JobId(3);
  const std::string firstTask = lasting + ".0.0.0";
  const auto runnerOf = [&](const std::string& aTask) {
    Runner* found = nullptr;
    for (const Run& run : deployment.mRuns.All()) {
      for (const std::unique_ptr<Runner>& runner : deployment.mRunners) {
        if (run.mTask == aTask && run.mRunner == runner->Id()) {
          found = runner.get();
        }
      }
    }
    return found;
  };
  deployment.Submit(
    lasting,
    body(
      "ms=900000000",
      R"("cpu":12000,"mem_mb":1000,"estimate_ms":1000,"long_running":true)"));
  SleepMs(1000);
  deployment.Submit(
    JobId(2),
    body("ms=70000", R"("cpu":6000,"mem_mb":1000,"estimate_ms":70000)"));
  SleepMs(2000);
  Runner* const first = runnerOf(firstTask);
  Runner* const second = runnerOf(JobId(2) + ".0.0.0");
  if (first == nullptr || second == nullptr || first == second) {
    return kNotRun;
  }
  if (aTrouble) {
    first->LosePowerForGood();
  }
  SleepMs(9000);
  const std::int64_t submittedMs = SteadyMs();
  if (!deployment.Submit(
        small, body("ms=300", R"("cpu":500,"mem_mb":500,"estimate_ms":300)"))) {
    return kNotRun;
  }
  SleepMs(kFinishMs + kIdleMs + 1000);
  std::int64_t waitedMs = -1;
  for (const Run& run : deployment.mRuns.All()) {
    if (run.mTask == small + ".0.0.0" && waitedMs < 0) {
      waitedMs = run.mStartedMs - submittedMs;
    }
  }
  const std::string summary =
    "started after ms=" + std::to_string(waitedMs) +
    " (-1: not at all) state=" + deployment.State(small);
  deployment.mRecord.Write(summary);
  std::printf("%s\n", summary.c_str());
  return waitedMs < 0 || waitedMs > kFinishMs + kIdleMs ? kBroken : kHeld;
}

/// A runner restarts, another one is lost, and the node is killed and starts
/// again. The lasting task of the lost runner has room everywhere.
int
PlayWaits(const std::string& aFolder, bool aTrouble)
{
  constexpr int kRunners = 8;
  constexpr int kLasting = 4;
  constexpr std::int64_t kCalmMs = 4000;
  constexpr std::int64_t kIdleMs = 3000;
  Deployment deployment(aFolder, kRunners);
  if (!deployment.mNode->AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(4000);
  const std::string lasting = JobId(900000);
  deployment.Submit(
    lasting,
    R"({"spec":"ms=900000000","steps":[{"count":4,"cpu":3000,"mem_mb":1000,)"
    R"("estimate_ms":1000,"long_running":true,"anti_affinity":1}]})");
  SleepMs(1000);
  std::int64_t calmFromMs = 0;
  const std::int64_t beginMs = SteadyMs();
  std::thread trouble([&] {
    SleepMs(3000);
    std::set<std::string> used;
    for (const Run& run : deployment.mRuns.All()) {
      if (run.mTask.starts_with(lasting)) {
        used.insert(run.mRunner);
      }
    }
    Runner* restarts = nullptr;
    Runner* leaves = nullptr;
    for (const std::unique_ptr<Runner>& runner : deployment.mRunners) {
      (used.contains(runner->Id()) ? leaves : restarts) = runner.get();
    }
    if (aTrouble && restarts != nullptr && leaves != nullptr) {
      restarts->LosePower(400);
      SleepMs(2500);
      leaves->LosePowerForGood();
      SleepMs(500);
      deployment.mRecord.Write("node killed");
      deployment.mNode->Kill();
      SleepMs(500);
      deployment.mNode->Start();
      deployment.mRecord.Write("node started");
    }
    calmFromMs = SteadyMs();
  });
  const std::string step = R"("anti_affinity":1)";
  SubmitUntil(deployment, beginMs + 30000, 400, Body(8, 500, 900, "," + step));
  trouble.join();
  SleepMs(3000);
  // For how long any of the lasting tasks had no run, from 4 s of calm on and 6
  // s after the last one, see the rule.
  constexpr std::int64_t kAfterRunMs = 6000;
  std::int64_t longestMs = 0;
  for (int task = 0; task < kLasting; ++task) {
    const std::string name = lasting + ".0.0." + std::to_string(task);
    std::int64_t endedMs = 0;
    for (const Run& run : deployment.mRuns.All()) {
      if (run.mTask != name) {
        continue;
      }
      if (endedMs != 0) {
        longestMs = std::max(longestMs,
                             run.mStartedMs - std::max(calmFromMs + kCalmMs,
                                                       endedMs + kAfterRunMs));
      }
      endedMs = run.mEndedMs;
    }
    if (endedMs != 0) {
      longestMs = std::max(
        longestMs,
        SteadyMs() - std::max(calmFromMs + kCalmMs, endedMs + kAfterRunMs));
    }
  }
  const std::string summary =
    "longest time without a run, as the rule counts it, ms=" +
    std::to_string(longestMs);
  deployment.mRecord.Write(summary);
  std::printf("%s\n", summary.c_str());
  return longestMs >= kIdleMs ? kBroken : kHeld;
}

int
Play(const std::string& aCase, const std::string& aFolder)
{
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
  if (aCase == "copies") {
    return PlayCopies(aFolder, trouble);
  }
  if (aCase == "gang") {
    return PlayGang(aFolder, trouble);
  }
  if (aCase == "held") {
    return PlayHeld(aFolder, trouble);
  }
  if (aCase == "waits") {
    return PlayWaits(aFolder, trouble);
  }
  if (aCase == "reborn") {
    return PlayReborn(aFolder, trouble);
  }
  return kNotRun;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  if (aCount != 3 || ::access("target/savorypaddle-node", X_OK) != 0) {
    std::fprintf(stderr,
                 "usage, in the repository: review-cases CASE FOLDER\n");
    return 2;
  }
  for (const int signal : { SIGTERM, SIGINT, SIGALRM }) {
    std::signal(signal, review::EndAll);
  }
  ::alarm(review::kLongestCaseS);
  return review::Play(aArguments[1], aArguments[2]);
}
