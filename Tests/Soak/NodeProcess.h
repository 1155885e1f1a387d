#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

#include "Record.h"

namespace paddle::soak {

/// A node's process, with its settings and its log in the folder of the play.
class NodeProcess
{
public:
  /// @param aIndex     selects its zone
  /// @param aFirstPort of three
  NodeProcess(int aIndex,
              std::uint16_t aFirstPort,
              std::uint16_t aStorePort,
              const std::string& aFolder);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Starts the process. Does nothing after End().
  void Start();
  void Signal(int aSignal);
  /// @return whether the process has ended
  [[nodiscard]] bool HasEnded();
  /// Ends the process with SIGKILL.
  void Kill();
  /// The same, and it is not started again.
  void End();
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
  std::mutex mMutex; ///< Protects the members below.
  pid_t mPid = 0;    ///< 0: there is no process.
  bool mEnded = false;
};

using NodeProcesses = std::vector<std::unique_ptr<NodeProcess>>;

/// @return the first of several ports that are free now, below those that the
///         system gives to connections, so that a node can start again
std::uint16_t
FreePorts(int aCount);

} // namespace paddle::soak
