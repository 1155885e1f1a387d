#include "NodeProcess.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>

#include "Sockets.h"

namespace paddle {

namespace {

/// A process that uses less than this within kCalmInterval is calm: a node
/// without callers uses about one tick.
constexpr long kCalmTicks = 6;
constexpr std::chrono::milliseconds kCalmInterval{ 250 };
/// Most intervals to wait for.
constexpr int kMaxIntervals = 80;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

NodeProcess::NodeProcess(const Machine& aMachine, std::uint16_t aStorePort)
  : mClientPort(FreePort())
  , mReadinessPort(FreePort())
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "paddle-hostile-XXXXXX").string();
  mFolder = ::mkdtemp(folder.data());
  const std::string settings = mFolder + "/settings";
  const std::string address = "=" + std::string(kTestAddress) + ":";
  std::ofstream(settings) << "node_name=node-1\nzone=a\nregion=r\n"
                          << "listen_addrs.front" << address << mClientPort
                          << "\nlisten_addrs.ready_addr" << address
                          << mReadinessPort << "\nplatform.address" << address
                          << aStorePort << "\nlimits.cpu_share=1\n"
                          << "limits.memory_mb=" << aMachine.mMemoryMb
                          << "\nlimits.max_fds=" << aMachine.mDescriptors
                          << "\n";
  const std::string log = mFolder + "/log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_CREAT | O_WRONLY, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = PADDLE_NODE_PROGRAM;
  std::string variable = "SAVORYPADDLE_CONFIG=" + settings;
  char* arguments[] = { program.data(), nullptr };
  char* variables[] = { variable.data(), nullptr };
  ::posix_spawn(
    &mPid, program.c_str(), &actions, nullptr, arguments, variables);
  posix_spawn_file_actions_destroy(&actions);
}

NodeProcess::~NodeProcess()
{
  if (Lives()) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
  }
  std::filesystem::remove_all(mFolder);
}

bool
NodeProcess::Lives()
{
  mEnded = mEnded || ::waitpid(mPid, nullptr, WNOHANG) != 0;
  return !mEnded;
}

std::size_t
NodeProcess::PeakMemoryKb() const
{
  const std::string text =
    ReadFile("/proc/" + std::to_string(mPid) + "/status");
  const std::size_t field = text.find("VmHWM:");
  return field == std::string::npos ? 0 : std::stoul(text.substr(field + 6));
}

std::size_t
NodeProcess::OpenDescriptors() const
{
  std::error_code error;
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(mPid) + "/fd", error);
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

long
NodeProcess::ProcessorTicks() const
{
  const std::string text = ReadFile("/proc/" + std::to_string(mPid) + "/stat");
  // The name in parentheses is the second field; the times are the 14th and the
  // 15th.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 3; i < 14; ++i) {
    fields >> skipped;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return user + system;
}

void
NodeProcess::WaitUntilCalm()
{
  long before = ProcessorTicks();
  for (int i = 0; i < kMaxIntervals && Lives(); ++i) {
    std::this_thread::sleep_for(kCalmInterval);
    const long now = ProcessorTicks();
    if (now - before < kCalmTicks) {
      return;
    }
    before = now;
  }
}

std::string
NodeProcess::Log() const
{
  return ReadFile(mFolder + "/log");
}

} // namespace paddle
