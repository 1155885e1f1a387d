#pragma once

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// The child processes of one scenario. The destructor kills those that still
/// run.
class Processes
{
public:
  /// @param aDirectory receives the standard output and the standard error of
  ///                   each process as NAME.out and NAME.err
  explicit Processes(std::string aDirectory);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts a program. A name may be reused only after its process has ended.
  /// NAME.out is then truncated, and NAME.err is appended to.
  /// @param aName by which the other functions find the process
  /// @param aProgram path of the program
  /// @return the process id
  Outcome<pid_t> Start(const std::string& aName,
                       const std::string& aProgram,
                       const std::vector<std::string>& aArguments);

  /// Sends a signal to a running process.
  /// @return an error if the process was never started or has ended
  Outcome<Done> Signal(const std::string& aName, int aSignal);

  /// Waits until a process has ended.
  /// @return its exit code, or 128 + the signal that ended it; nothing if
  ///         the process still runs after @p aLimit or was never started
  std::optional<int> Wait(const std::string& aName, Millis aLimit);

  /// @return what the process has written to its standard output
  [[nodiscard]] std::string Output(const std::string& aName) const;

private:
  struct Child
  {
    pid_t mPid = 0;
    std::optional<int> mExitStatus; ///< Empty while the process runs.
  };

  /// Stores the exit status of a child that has ended. It does not block.
  void CollectExitStatus(Child& aChild);

  std::string mDirectory;
  std::map<std::string, Child> mChildren;
};

} // namespace paddle
