#include <Scenarios/Processes.h>

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace paddle {

namespace {

/// Interval at which Wait() checks whether a process has ended.
constexpr Millis kExitPollInterval{ 5 };
/// Permissions of the output files.
constexpr mode_t kOutputMode = 0644;

/// @param aWhat the operation that failed
/// @param aCode the errno value
Error
SystemError(const std::string& aWhat, int aCode)
{
  return Error{ ErrorKind::Internal, aWhat + ": " + std::strerror(aCode) };
}

} // namespace

Processes::Processes(std::string aDirectory)
  : mDirectory(std::move(aDirectory))
{
}

Processes::~Processes()
{
  for (auto& [name, child] : mChildren) {
    CollectExitStatus(child);
    if (!child.mExitStatus) {
      kill(child.mPid, SIGKILL);
      waitpid(child.mPid, nullptr, 0);
    }
  }
}

Outcome<pid_t>
Processes::Start(const std::string& aName,
                 const std::string& aProgram,
                 const std::vector<std::string>& aArguments)
{
  std::vector<std::string> words{ aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);

  const std::string out = mDirectory + "/" + aName + ".out";
  const std::string err = mDirectory + "/" + aName + ".err";
  constexpr int kOutFlags = O_WRONLY | O_CREAT | O_TRUNC;
  constexpr int kErrFlags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(
    &files, STDOUT_FILENO, out.c_str(), kOutFlags, kOutputMode);
  posix_spawn_file_actions_addopen(
    &files, STDERR_FILENO, err.c_str(), kErrFlags, kOutputMode);
  pid_t pid = 0;
  const int code = posix_spawn(
    &pid, aProgram.c_str(), &files, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (code != 0) {
    return SystemError("can't start " + aProgram, code);
  }
  mChildren[aName] = Child{ pid, std::nullopt };
  return pid;
}

void
Processes::CollectExitStatus(Child& aChild)
{
  int status = 0;
  if (!aChild.mExitStatus &&
      waitpid(aChild.mPid, &status, WNOHANG) == aChild.mPid) {
    aChild.mExitStatus =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
}

Outcome<Done>
Processes::Signal(const std::string& aName, int aSignal)
{
  const auto found = mChildren.find(aName);
  if (found == mChildren.end()) {
    return Error{ ErrorKind::NotFound, aName + " was never started" };
  }
  CollectExitStatus(found->second);
  if (found->second.mExitStatus) {
    return Error{ ErrorKind::NotFound, aName + " has ended" };
  }
  if (kill(found->second.mPid, aSignal) != 0) {
    return SystemError("can't signal " + aName, errno);
  }
  return Done{};
}

std::optional<int>
Processes::Wait(const std::string& aName, Millis aLimit)
{
  const auto found = mChildren.find(aName);
  if (found == mChildren.end()) {
    return std::nullopt;
  }
  const MonotonicTime end = std::chrono::steady_clock::now() + aLimit;
  for (;;) {
    CollectExitStatus(found->second);
    if (found->second.mExitStatus || std::chrono::steady_clock::now() >= end) {
      return found->second.mExitStatus;
    }
    std::this_thread::sleep_for(kExitPollInterval);
  }
}

std::string
Processes::Output(const std::string& aName) const
{
  std::ifstream file(mDirectory + "/" + aName + ".out");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace paddle
