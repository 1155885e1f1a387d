#include "Deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kService = "desk";

} // namespace

void
Wait(Ms aTime)
{
  std::this_thread::sleep_for(aTime);
}

Deployment::Deployment(int aCount,
                       char** aArguments,
                       std::size_t aNodes,
                       std::size_t aRunners,
                       bool aLastRunnerFar)
{
  if (aCount != 4) {
    std::fprintf(stderr, "usage: CASE PROGRAM RECORD FOLDER\n");
    std::_Exit(2);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  mTrouble = trouble == nullptr || std::string(trouble) != "0";
  mProgram = aArguments[1];
  mFolder = aArguments[3];
  mRecord = std::make_unique<Record>(aArguments[2]);
  mStore = std::make_unique<Store>(aNodes);
  const char* zones[] = { "cartago", "zarcero", "heredia" };
  constexpr Ms kRegionRoundTrip{ 24 };
  for (std::size_t i = 0; i < aRunners; ++i) {
    const bool far = aLastRunnerFar && i + 1 == aRunners;
    mRunners.push_back(
      std::make_unique<Runner>(Runner::Spec{ "i-" + std::to_string(7000 + i),
                                             kService,
                                             zones[i % 3],
                                             "r" + std::to_string(i % 3) + "-1",
                                             far ? "b" : "a",
                                             far ? kRegionRoundTrip : Ms(0) },
                               *mStore,
                               mRuns,
                               *mRecord));
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    Node node;
    node.mName =
      "front-" + std::string(zones[i % 3]) + "-" + std::to_string(i / 3 + 1);
    const std::string base = Ip() + ":";
    node.mClients = base + std::to_string(FreePort());
    node.mReady = base + std::to_string(FreePort());
    node.mControl = base + std::to_string(FreePort());
    std::ofstream settings(mFolder + "/" + node.mName + ".conf");
    settings << "node_name=" << node.mName << "\nrole=node\n"
             << "machine_class=front\nserves=front,control\nip=" << Ip() << "\n"
             << "zone=" << zones[i % 3] << "\nregion=valle-central\n"
             << "listen_addrs.front=" << node.mClients
             << "\nlisten_addrs.ready_addr=" << node.mReady
             << "\nlisten_addrs.control=" << node.mControl
             << "\nbootstrap=true\nlimits.cpu_share=0.1\nlimits.cpu_cores=1\n"
             << "limits.memory_mb=260\ndiscovery=platform\nentry=vip\n"
             << "heartbeat_ms=1500\nbounds.contact_ms=4000\n"
             << "bounds.ack_timeout_ms=5000\nbounds.grace_s=6\n"
             << "bounds.config_apply_ms=2500\nbounds.max_hold_ms=6000\n"
             << "bounds.stop_timeout_ms=200\nbounds.cancel_ms=3000\n"
             << "bounds.visible_ms=3000\nbounds.lease_ms=3000\n"
             << "bounds.harm_ms=4000\ncommands=rpc\n"
             << "platform.address=" << mStore->Address(i)
             << "\nplatform.form=table\nplatform.writes_per_s=800\n"
             << "platform.reads_per_s=2000\nplatform.row_bytes=65536\n"
             << "platform.cross_shard=true\nplatform.retention_s=20\n";
    mNodes.push_back(node);
  }
}

void
Deployment::StartNode(std::size_t aNode)
{
  Node& node = mNodes.at(aNode);
  const std::string settings =
    "SAVORYPADDLE_CONFIG=" + mFolder + "/" + node.mName + ".conf";
  const std::string log = mFolder + "/" + node.mName + ".log";
  std::string program = mProgram;
  std::string variable = settings;
  std::string path = "PATH=/usr/bin:/bin";
  char* const arguments[] = { program.data(), nullptr };
  char* const environment[] = { variable.data(), path.data(), nullptr };
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(2);
    }
    const int file =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  node.mProcess = child;
  mRecord->Write("node " + node.mName + " starts");
}

void
Deployment::Signal(std::size_t aNode, int aSignal)
{
  Node& node = mNodes.at(aNode);
  mRecord->Write("node " + node.mName + " gets signal " +
                 std::to_string(aSignal));
  kill(node.mProcess, aSignal);
  if (aSignal == SIGKILL) {
    waitpid(node.mProcess, nullptr, 0);
    node.mProcess = -1;
  }
}

void
Deployment::Begin()
{
  Configure(1, true);
  for (const std::unique_ptr<Runner>& runner : mRunners) {
    runner->Boot();
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    StartNode(i);
  }
  constexpr std::int64_t kLongestStartMs = 20000;
  std::size_t ready = 0;
  while (ready < mNodes.size()) {
    if (mRecord->NowMs() > kLongestStartMs) {
      Exit(2, "the nodes are not ready");
    }
    Wait(Ms(200));
    ready = 0;
    for (const Node& node : mNodes) {
      ready +=
        Call(
          node.mReady, "GET", "/savorypaddle/ready", node.mReady, {}, Ms(1000))
              .mStatus == 200
          ? 1
          : 0;
    }
  }
  mRecord->Write("all nodes are ready");
  // As in the sites, traffic starts 10 s after the machines.
  constexpr std::int64_t kTrafficMs = 10000;
  while (mRecord->NowMs() < kTrafficMs) {
    Wait(Ms(50));
  }
}

void
Deployment::Exit(int aStatus, const std::string& aVerdict)
{
  for (Node& node : mNodes) {
    if (node.mProcess > 0) {
      kill(node.mProcess, SIGKILL);
      waitpid(node.mProcess, nullptr, 0);
    }
  }
  mRecord->Write("verdict " + std::to_string(aStatus) + ": " + aVerdict);
  std::printf("%d: %s\n", aStatus, aVerdict.c_str());
  std::fflush(stdout);
  std::_Exit(aStatus);
}

Response
Deployment::Client(std::size_t aNode,
                   const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody,
                   Ms aTimeout)
{
  const Node& node = mNodes.at(aNode);
  mRecord->Write("client sends " + aMethod + " " + aTarget + " to " +
                 node.mName);
  Response answer =
    Call(node.mClients, aMethod, aTarget, kHost, aBody, aTimeout);
  mRecord->Write(
    "client gets " +
    (answer.mStatus == 0 ? "no answer" : std::to_string(answer.mStatus)) + " " +
    answer.mBody + " for " + aMethod + " " + aTarget + " from " + node.mName);
  return answer;
}

bool
Deployment::Submit(std::size_t aNode,
                   const std::string& aId,
                   const std::string& aBody)
{
  constexpr int kAttempts = 5;
  for (int i = 0; i < kAttempts; ++i) {
    const Response answer = Client(aNode, "POST", kPrefix + aId, aBody);
    if (answer.mStatus >= 200 && answer.mStatus < 300) {
      return true;
    }
    Wait(Ms(1000));
  }
  return false;
}

void
Deployment::Configure(int aVersion, bool aWithRoute)
{
  const std::string route =
    "{\"name\":\"r-jobs\",\"host\":\"" + std::string(kHost) +
    "\",\"path_prefix\":\"" + kPrefix +
    "\",\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":1000,"
    "\"priority\":0,\"service\":\"" +
    kService + "\",\"max_attempts\":" + std::to_string(kMaxAttempts) +
    ",\"stretch\":2.0,\"allowed_regions\":[]}";
  const std::string other =
    "{\"name\":\"r-other\",\"host\":\"other.example\",\"path_prefix\":\"/o/\","
    "\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":1000,"
    "\"priority\":1,\"service\":\"" +
    std::string(kService) +
    "\",\"max_attempts\":4,\"stretch\":2.0,\"allowed_regions\":[]}";
  mStore->Put("op",
              "config",
              "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" +
                (aWithRoute ? route + "," : "") + other +
                "],\"services\":[{\"name\":\"" + kService +
                "\",\"health_path\":\"/health\",\"max_conns\":64,"
                "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
                "\"cold_per_s\":0.0,\"preconditions\":false,"
                "\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                "\"idle_timeout_ms\":15000}}");
  mRecord->Write("operator's configuration " + std::to_string(aVersion) +
                 (aWithRoute ? " with" : " without") +
                 " the route is acknowledged");
}

} // namespace review
