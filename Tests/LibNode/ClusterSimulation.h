#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <LibNode/ClientFrontEnd.h>
#include <LibNode/Node.h>
#include <LibNode/ShardOwner.h>

#include "FakeStore.h"

namespace paddle {

/// Nodes that share a fake store and fake runners, in virtual time.
struct ClusterSimulation
{
  struct FakeRun
  {
    std::string mTask;
    std::int64_t mRun = 0;
  };
  struct FakeRunner
  {
    std::vector<FakeRun> mRunning;
    std::vector<dispatch::EndEntry> mEnds;
    std::int64_t mNextEnd = 1;
    std::int64_t mFencingToken = 0; ///< Highest token seen.
  };
  struct SimulatedNode
  {
    NodeContext mContext;
    std::unique_ptr<Node> mNode;
  };

  ClusterSimulation();

  /// Starts a new process of the node, after killing the present one, if any.
  void StartNode(const std::string& aName);
  /// Destroys the node without draining it.
  void KillNode(const std::string& aName);
  /// Advances the clock in steps of 25 ms, with a tick of all nodes in each.
  void AdvanceTime(Millis aTime);
  /// Submits a job with one task through a node and advances the clock by 3 s.
  /// @return the answer, or Unavailable if there was none
  ClientAnswer Submit(const std::string& aNode, const std::string& aJob);
  /// Asks a node for the status of a job and advances the clock by 100 ms.
  /// @return the answer, or Unavailable if there was none
  StatusAnswer Status(const std::string& aNode, const std::string& aJob);

  /// Ends the run of a task at the first runner that runs it.
  void EndRun(const std::string& aTask, dispatch::EndKind aKind);
  /// @return the number of runs of the task, over all runners
  [[nodiscard]] std::size_t Running(const std::string& aTask) const;

  FakeStore mStore;
  std::map<std::string, FakeRunner> mRunners;
  std::map<std::string, SimulatedNode> mNodes;
  Deadlines mDeadlines;
  EventLog mLog{ "test", { 0, 0, 0 } };
  Metrics mMetrics;
  MonotonicTime mNow{ Seconds(1000) };
  RowPartitions mPartitions; ///< For the nodes that are started from now on.
  int mStarts = 0;           ///< Number of starts that runners carried out.
  std::int64_t mNextIncarnation = 1;

private:
  RunnerPort MakeRunnerPort();
  DirectoryPort MakeDirectoryPort();
};

} // namespace paddle
