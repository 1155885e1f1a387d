#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <LibNode/Front.h>
#include <LibNode/Node.h>
#include <LibNode/ShardHost.h>

#include "FakeStore.h"

namespace paddle {

/// Nodes over one fake store and fake runners, in virtual time.
struct NodeWorld
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
    std::int64_t mToken = 0;
  };
  struct Member
  {
    NodeContext mContext;
    std::unique_ptr<Node> mNode;
  };

  NodeWorld();

  /// Starts a process of the node; a former one of this name is killed.
  void StartNode(const std::string& aName);
  void KillNode(const std::string& aName);
  /// Lets time pass in steps of 25 ms.
  void Pass(Millis aTime);
  /// @return the answer, once time has passed
  ClientAnswer Submit(const std::string& aNode, const std::string& aJob);
  StatusAnswer Status(const std::string& aNode, const std::string& aJob);

  /// Ends what runs of a task at its runner.
  void End(const std::string& aTask, dispatch::EndKind aKind);
  [[nodiscard]] std::size_t Running(const std::string& aTask) const;

  FakeStore mStore;
  std::map<std::string, FakeRunner> mRunners;
  std::map<std::string, Member> mNodes;
  Deadlines mDeadlines;
  EventLog mLog{ "test", { 0, 0, 0 } };
  Metrics mMetrics;
  MonotonicTime mNow{ Seconds(1000) };
  RowParts mParts; ///< Of the nodes started from now on.
  int mStarts = 0;
  std::int64_t mNextIncarnation = 1;

private:
  RunnerPort MakeRunnerPort();
  DirectoryPort MakeDirectoryPort();
};

} // namespace paddle
