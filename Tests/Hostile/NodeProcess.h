#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace paddle {

/// The machine that a node is told it runs on, in its settings.
struct Machine
{
  std::size_t mMemoryMb = 32;
  std::size_t mDescriptors = 4100;
};

/// A savorypaddle-node in a process of its own, with its settings and its log
/// in a temporary folder. The destructor ends it.
class NodeProcess
{
public:
  NodeProcess(const Machine& aMachine, std::uint16_t aStorePort);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  [[nodiscard]] std::uint16_t ClientPort() const { return mClientPort; }
  [[nodiscard]] std::uint16_t ReadinessPort() const { return mReadinessPort; }

  /// @return whether the process has not ended
  [[nodiscard]] bool Lives();
  /// @return the largest resident memory so far, in kilobytes
  [[nodiscard]] std::size_t PeakMemoryKb() const;
  [[nodiscard]] std::size_t OpenDescriptors() const;
  /// Waits until the process has used hardly any processor time for a while, or
  /// has ended.
  void WaitUntilCalm();
  /// @return the process's log
  [[nodiscard]] std::string Log() const;

private:
  /// @return processor time used so far, in clock ticks
  [[nodiscard]] long ProcessorTicks() const;

  std::string mFolder;
  std::uint16_t mClientPort;
  std::uint16_t mReadinessPort;
  pid_t mPid = -1;
  bool mEnded = false;
};

} // namespace paddle
