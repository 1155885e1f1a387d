#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
  /// An end as done that no renewal has acknowledged yet.
  struct UnnotedEnd
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::int64_t mRun = 0;
    MonotonicTime mAt;
    bool mLapsed = false; ///< Whether the runner's lease has lapsed since.
  };
  /// An end as done that was acknowledged by a renewal which the runner carried
  /// out, and before which its lease had not lapsed since the end.
  struct NotedEnd
  {
    std::string mRunner;
    std::int64_t mRun = 0;
    MonotonicTime mAt;
    MonotonicTime mNotedAt;
  };
  /// What becomes of an order, beside the state of its path.
  struct OrderFate
  {
    /// It is carried out after this time and gets no answer; 0: in time.
    Millis mLateness{ 0 };
    bool mAnswerLost = false; ///< It is carried out in time.
    /// The node's process is stopped before the order leaves, for this time.
    Millis mStandsStill{ 0 };
  };
  /// One process of a runner, or several in turn under the same id.
  struct FakeRunner
  {
    std::vector<FakeRun> mRunning;
    std::vector<dispatch::EndEntry> mEnds;
    std::vector<UnnotedEnd> mUnnotedEnds; ///< Those of mEnds that are done.
    std::int64_t mNextEnd = 1;
    std::int64_t mFencingToken = 0; ///< Highest token seen.
    /// On the runner's clock; everything on the runner ends then.
    std::int64_t mLeaseEndMs = 0;
    /// By task: the highest run that ended or was stopped here.
    std::map<std::string, std::int64_t> mHighestEndedRun;
    /// Answers to renewals that wait for the end of a run.
    std::vector<std::function<void()>> mLongPolls;
    std::int64_t mIncarnation = 1;
    MonotonicTime mClockSetAt; ///< When its clock read mClockSetMs.
    std::int64_t mClockSetMs = 0;
    double mClockRate = 1; ///< Below 1: the clock is slow.
    bool mUp = true;
    /// Another runner's process is at its address, which rejects all orders.
    bool mReplaced = false;
    bool mListed = true; ///< In the list of runners that nodes read.
    bool mDraining = false;
    std::string mRack; ///< A long name makes the stored list long.
  };
  /// State of the way from a node to a runner.
  struct Path
  {
    bool mCut = false; ///< No order arrives, and no answer either.
    /// Orders are carried out after this time and get no answer; 0: in time.
    Millis mLateness{ 0 };
    /// Time that a renewal and its answer take together. On a new connection
    /// they take twice as long, because it is opened first.
    Millis mRoundTrip{ 0 };
  };
  /// What happens first when a frozen node wakes.
  enum class OnWaking
  {
    AnswersFirst, ///< The answers that have arrived are handled.
    TickFirst
  };
  struct SimulatedNode
  {
    NodeContext mContext;
    std::unique_ptr<Node> mNode;
    std::uint64_t mProcess = 0; ///< Differs for each process of the node.
    bool mFrozen = false;
    bool mCutFromStore = false;
    /// The store refuses its transactions, but still answers its reads.
    bool mWritesRefused = false;
    double mClockRate = 1; ///< Of its clock against the store's.
    MonotonicTime mClockSet{ Seconds(1000) };           ///< Its reading at
    MonotonicTime mClockSetAt{ Seconds(1000) };         ///< this time.
    std::vector<std::function<void()>> mPendingAnswers; ///< While frozen.
    /// Calls made by a process that was stopped just before they leave.
    std::vector<std::function<void()>> mPendingCalls;
    Deadlines mDeadlines; ///< Of the node's own components.
  };
  /// A run of a task, from its start on a runner to its end there.
  struct RunRecord
  {
    std::string mRunner;
    std::int64_t mRun = 0;
    MonotonicTime mFrom;
    std::optional<MonotonicTime> mTo; ///< Nothing: it still runs.
    bool mLate = false; ///< Whether the order was carried out late.
  };
  /// Stands for all nodes or all runners in the key of a path.
  static constexpr const char* kAll = "*";

  explicit ClusterSimulation(std::size_t aRunners = 4);

  /// Starts a new process of the node, after killing the present one, if any.
  void StartNode(const std::string& aName);
  /// Destroys the node without draining it.
  void KillNode(const std::string& aName);
  /// Stops the node's process: it gets no ticks, and the answers to its calls
  /// are held back. Orders that it has sent are still carried out.
  void FreezeNode(const std::string& aName);
  void WakeNode(const std::string& aName, OnWaking aOrder);
  /// Cuts the node off from the store and from the list of runners: its calls
  /// have no effect and get no answer within their time-outs.
  void CutFromStore(const std::string& aName, bool aCut);
  /// Sets the state of the way from a node, or all nodes, to a runner, or all
  /// runners. The worst of the states that apply to a pair counts.
  void SetPath(const std::string& aNode,
               const std::string& aRunner,
               const Path& aPath);

  /// Ends the runner's process and everything on it.
  /// @param aListedFor time after which it is dropped from the list of runners
  void RemoveRunner(const std::string& aRunner, Millis aListedFor);
  /// Starts a new process under the runner's id, after ending the present one,
  /// if any. It has a new incarnation and knows nothing of before.
  void RestartRunner(const std::string& aRunner);

  /// Ends the runner's process and starts that of another runner at its
  /// address.
  /// @param aListedFor time after which it is dropped from the list of runners
  void ReplaceRunner(const std::string& aRunner,
                     const std::string& aBy,
                     Millis aListedFor);

  /// Advances the clock in steps of 25 ms, with a tick of all nodes in each.
  void AdvanceTime(Millis aTime);
  /// Advances the clock until the shard has an owner, but at most by
  /// @p aTimeout.
  /// @param aAtLeastEpoch lowest epoch of the owner
  /// @return the owner's name, or an empty text after the time-out
  std::string AwaitOwner(std::int64_t aAtLeastEpoch, Millis aTimeout);
  /// Submits a job with one step through a node and advances the clock by 3 s.
  /// @return the answer, or Unavailable if there was none
  ClientAnswer Submit(const std::string& aNode,
                      const std::string& aJob,
                      dispatch::StepKind aKind = dispatch::StepKind::Finite,
                      std::uint32_t aTasks = 1);
  /// Asks a node for the status of a job and advances the clock by 100 ms.
  /// @return the answer, or Unavailable if there was none
  StatusAnswer Status(const std::string& aNode, const std::string& aJob);

  /// Sets the rate at which a runner's clock goes on from its present reading.
  void SetClockRate(const std::string& aRunner, double aRate);
  /// Sets the rate at which a node's clock goes on from its present reading.
  void SetNodeClockRate(const std::string& aName, double aRate);
  /// Ends a run at a runner that stays up, which reports the end.
  void EndRunAt(const std::string& aRunner,
                const FakeRun& aRun,
                dispatch::EndKind aKind);
  /// Ends the run of a task at the first runner that runs it.
  void EndRun(const std::string& aTask, dispatch::EndKind aKind);
  /// @return the number of runs of the task, over all runners
  [[nodiscard]] std::size_t Running(const std::string& aTask) const;
  /// @return the first runner that runs the task, or an empty text
  [[nodiscard]] std::string RunnerOf(const std::string& aTask) const;
  /// @return when a run of the task first started after @p aTime
  [[nodiscard]] std::optional<MonotonicTime> StartedAfter(
    const std::string& aTask,
    MonotonicTime aTime) const;
  /// @return a description of two runs of a task that overlapped in time, or an
  ///         empty text if there are none
  [[nodiscard]] std::string Overlap() const;
  /// @return a description of a task of which a run began after an end as done
  ///         that was noted before or later, or an empty text if there is none
  [[nodiscard]] std::string StartAfterNotedEnd() const;
  /// @return a description of a task of which a run began over a second after
  ///         an end as done was noted, by an order that was not late, or an
  ///         empty text if there is none
  [[nodiscard]] std::string OrderAfterNotedEnd() const;
  /// @return the runs of a task as a text, with times since the beginning
  [[nodiscard]] std::string HistoryOf(const std::string& aTask) const;
  /// @return the shard's row, as its owner last wrote it
  [[nodiscard]] ShardRow Shard() const;
  /// @return milliseconds from the beginning to @p aTime
  [[nodiscard]] std::int64_t SinceBegin(MonotonicTime aTime) const;

  FakeStore mStore;
  /// Longest lease that the deployment allows, for the runners and for the
  /// nodes that are started from then on.
  Millis mMaxLease{ 6000 };
  std::map<std::string, FakeRunner> mRunners;
  std::map<std::string, SimulatedNode> mNodes;
  Deadlines mDeadlines; ///< Of everything but the nodes.
  EventLog mLog{ "test", { 0, 0, 0 } };
  Metrics mMetrics;
  MonotonicTime mNow{ Seconds(1000) };
  /// Client accounts of the operator's configuration, and its version.
  std::vector<ClientAccount> mAccounts;
  std::int64_t mConfigurationVersion = 1;
  RowPartitions mPartitions; ///< For the nodes that are started from now on.
  int mStarts = 0;           ///< Number of starts that runners carried out.
  std::int64_t mNextIncarnation = 1;
  std::map<std::pair<std::string, std::string>, Path> mPaths;
  std::map<std::string, std::vector<RunRecord>> mHistory;  ///< By task.
  std::map<std::string, std::vector<NotedEnd>> mNotedEnds; ///< By task.
  /// Decides about each order of a node that is not stopped, if set.
  std::function<OrderFate(const std::string& aRunner)> mDrawFate;
  /// Whether late orders to the former process of a runner reach the new one.
  bool mLateOrdersReachNextProcess = true;

private:
  /// Identifies the process of a node that makes a call.
  struct Caller
  {
    std::string mNode;
    std::uint64_t mProcess = 0;
  };

  /// @return a description of the first task of which a run began after an end
  ///         that was noted, as @p aIsAfter decides, or an empty text
  [[nodiscard]] std::string StartAfterEnd(
    const std::function<bool(const RunRecord&, const NotedEnd&)>& aIsAfter)
    const;

  StorePort MakeStorePort(const Caller& aCaller);
  RunnerPort MakeRunnerPort(const Caller& aCaller);
  DirectoryPort MakeDirectoryPort(const Caller& aCaller);
  /// Calls a handler of a node, unless its process has ended. A frozen node
  /// handles it when it wakes.
  void Deliver(const Caller& aCaller, std::function<void()> aHandler);
  [[nodiscard]] bool IsCutFromStore(const Caller& aCaller) const;
  [[nodiscard]] Path PathTo(const Caller& aCaller,
                            const std::string& aRunner) const;
  /// @return the time until the connection for a renewal is open
  [[nodiscard]] Millis OpeningTime(const Caller& aCaller,
                                   const std::string& aRunner) const;
  /// Sends an order to a runner.
  /// @param aCarryOut is called at the runner with a function that answers
  /// @param aStillWanted whether the order is still to be sent, if set; asked
  ///                     when a node that stood still sends it
  template<typename Result>
  void SendOrder(
    const Caller& aCaller,
    const std::string& aRunner,
    Millis aTimeout,
    const std::function<void(FakeRunner&, std::function<void(Result)>)>&
      aCarryOut,
    const std::function<void(Result)>& aDone,
    const std::function<bool()>& aStillWanted = {});

  /// Sends an order now, as SendOrder() describes.
  template<typename Result>
  void SendOrderNow(
    const Caller& aCaller,
    const std::string& aRunner,
    Millis aTimeout,
    const OrderFate& aFate,
    const std::function<void(FakeRunner&, std::function<void(Result)>)>&
      aCarryOut,
    const std::function<void(Result)>& aDone);

  // Carry out an order at a runner.
  void CarryOutRenewal(
    const std::string& aRunner,
    const RenewalOrder& aOrder,
    const std::function<void(const RenewalOutcome&)>& aAnswer);
  RunnerResult CarryOutStart(const std::string& aRunner,
                             const StartOrder& aOrder);
  RunnerResult CarryOutStop(const std::string& aRunner,
                            const RunChangeOrder& aOrder);

  [[nodiscard]] std::int64_t ClockOf(const FakeRunner& aRunner) const;
  void ExtendLease(FakeRunner& aRunner, std::int64_t aLeaseEndMs) const;
  /// Notes for the ends of a runner that its lease has lapsed, if it has.
  void NoteLapse(FakeRunner& aRunner) const;
  /// Records that a run has ended.
  void RecordEnd(const std::string& aRunner, const FakeRun& aRun);
  /// Ends everything on the runners whose leases have ended.
  void ExpireLeases();

  /// @return the reading of the node's clock
  [[nodiscard]] MonotonicTime ClockOf(const SimulatedNode& aNode) const;

  std::uint64_t mNextProcess = 1;
  bool mCarriesOutLate = false; ///< Whether the present order is late.
  int mWakings = 0;             ///< After nodes stood still before an order.
  /// Processes of nodes and runners between which the connection for renewals
  /// is open. It is closed when a renewal gets no answer in time.
  std::set<std::pair<std::uint64_t, std::string>> mOpenConnections;
};

} // namespace paddle
