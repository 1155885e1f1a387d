#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include "Record.h"

namespace paddle::soak {

/// A node's process, with its settings and its log in the folder of the play.
/// The destructor ends it.
class NodeProcess
{
public:
  /// @param aIndex     selects its zone
  /// @param aFirstPort of three
  NodeProcess(int aIndex,
              int aFirstPort,
              std::uint16_t aStorePort,
              const std::string& aFolder);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  void Start();
  void Signal(int aSignal);
  /// @return whether the process has ended
  [[nodiscard]] bool HasEnded();
  /// Ends the process with SIGKILL.
  void Kill();
  [[nodiscard]] bool IsReady() const;

  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] std::uint16_t ClientPort() const { return mClientPort; }

  /// Set while some trouble has the process, which then gets no other.
  std::atomic<bool> mInTrouble = false;

private:
  const std::string mName;
  const std::string mSettings; ///< Path of its settings file.
  const std::string mLog;      ///< Path of its log.
  const std::uint16_t mClientPort;
  const std::uint16_t mReadyPort;
  pid_t mPid = 0; ///< 0: there is no process.
};

using NodeProcesses = std::vector<std::unique_ptr<NodeProcess>>;

/// @return the first of several ports that are free now, below those that the
///         system gives to connections, so that a node can start again
int
FreePorts(int aCount);

} // namespace paddle::soak
