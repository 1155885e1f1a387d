#include "NodeProcess.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Http.h"

namespace paddle::soak {

namespace {

bool
IsFree(std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool isFree = ::bind(socket,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof address) == 0;
  ::close(socket);
  return isFree;
}

} // namespace

int
FreePorts(int aCount)
{
  constexpr int kLowest = 12000;
  constexpr int kHighest = 32000;
  // Programs that run beside each other begin at different ports.
  int first = kLowest + static_cast<int>(::getpid()) % 199 * 100;
  for (int port = first; port < first + aCount; ++port) {
    if (!IsFree(static_cast<std::uint16_t>(port))) {
      first = port + 1 + aCount < kHighest ? port + 1 : kLowest;
      port = first - 1;
    }
  }
  return first;
}

NodeProcess::NodeProcess(int aIndex,
                         int aFirstPort,
                         std::uint16_t aStorePort,
                         const std::string& aFolder)
  : mName("front-" + std::string(1, static_cast<char>('a' + aIndex % 3)) + "-" +
          std::to_string(aIndex + 1))
  , mSettings(aFolder + "/" + mName + ".conf")
  , mLog(aFolder + "/" + mName + ".log")
  , mClientPort(static_cast<std::uint16_t>(aFirstPort))
  , mReadyPort(static_cast<std::uint16_t>(aFirstPort + 1))
{
  const auto address = [](int aPort) {
    return "127.0.0.1:" + std::to_string(aPort) + "\n";
  };
  static_cast<void>(::unlink(mLog.c_str()));
  std::ofstream(mSettings)
    << "node_name=" << mName
    << "\nrole=node\nmachine_class=front\nserves=front,control\n"
       "ip=127.0.0.1\nzone="
    << static_cast<char>('a' + aIndex % 3)
    << "\nregion=r\nzones.a=r\nzones.b=r\nzones.c=r\nlisten_addrs.front="
    << address(mClientPort) << "listen_addrs.ready_addr=" << address(mReadyPort)
    << "listen_addrs.control=" << address(mReadyPort + 1)
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
}

NodeProcess::~NodeProcess()
{
  Kill();
}

void
NodeProcess::Start()
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, mLog.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The signals that this program waits for are not blocked in the node.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::string program = PADDLE_NODE_PROGRAM;
  std::string variable = "SAVORYPADDLE_CONFIG=" + mSettings;
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> variables{ variable.data(), nullptr };
  if (::posix_spawn(&mPid,
                    program.c_str(),
                    &actions,
                    &attributes,
                    arguments.data(),
                    variables.data()) != 0) {
    mPid = 0;
  }
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
}

void
NodeProcess::Signal(int aSignal)
{
  if (mPid != 0) {
    ::kill(mPid, aSignal);
  }
}

bool
NodeProcess::HasEnded()
{
  if (mPid != 0 && ::waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = 0;
  }
  return mPid == 0;
}

void
NodeProcess::Kill()
{
  if (mPid != 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

bool
NodeProcess::IsReady() const
{
  return review::Call(
           mReadyPort, "GET", "node", "/savorypaddle/ready", {}, 500) == 200;
}

} // namespace paddle::soak
