#include "ClusterSimulation.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace paddle {

namespace {

constexpr Millis kTimeStep{ 25 };
/// Resolution of the messages between nodes and runners.
constexpr Millis kMessageStep{ 5 };
/// Time that an order takes to a runner, and its answer back.
constexpr Millis kLatency{ 5 };
/// Time after which the caller gives up an order that got no answer. A renewal
/// has its long poll in addition.
constexpr Millis kOrderTimeout{ 900 };
constexpr Millis kRenewalTimeout{ 700 };
/// Time after which a caller gives up a read of the store.
constexpr Millis kReadTimeout{ 1500 };

} // namespace

ClusterSimulation::ClusterSimulation(std::size_t aRunners)
{
  for (std::size_t i = 0; i < aRunners; ++i) {
    mRunners["r" + std::to_string(i)] = {};
  }
  mStore.mClock = [this] {
    return std::chrono::duration_cast<Millis>(mNow.time_since_epoch()).count();
  };
}

void
ClusterSimulation::Deliver(const Caller& aCaller,
                           std::function<void()> aHandler)
{
  SimulatedNode& node = mNodes.at(aCaller.mNode);
  if (!node.mNode || node.mProcess != aCaller.mProcess) {
    return;
  }
  if (node.mFrozen) {
    node.mPendingAnswers.push_back(std::move(aHandler));
    return;
  }
  aHandler();
}

bool
ClusterSimulation::IsCutFromStore(const Caller& aCaller) const
{
  return mNodes.at(aCaller.mNode).mCutFromStore;
}

ClusterSimulation::Path
ClusterSimulation::PathTo(const Caller& aCaller,
                          const std::string& aRunner) const
{
  Path worst;
  for (const auto& [key, path] : mPaths) {
    const bool applies = (key.first == kAll || key.first == aCaller.mNode) &&
                         (key.second == kAll || key.second == aRunner);
    if (applies) {
      worst.mCut = worst.mCut || path.mCut;
      worst.mLateness = std::max(worst.mLateness, path.mLateness);
      worst.mRoundTrip = std::max(worst.mRoundTrip, path.mRoundTrip);
    }
  }
  return worst;
}

StorePort
ClusterSimulation::MakeStorePort(const Caller& aCaller)
{
  StorePort port;
  const StorePort store = mStore.Port();
  port.mTransact = [this, aCaller, store](const StoreTransaction& aTransaction,
                                          Millis aTimeout,
                                          const TransactionHandler& aDone) {
    if (SimulatedNode& node = mNodes.at(aCaller.mNode); node.mFrozen) {
      node.mPendingCalls.push_back(
        [this, aCaller, aTransaction, aTimeout, aDone] {
          MakeStorePort(aCaller).mTransact(aTransaction, aTimeout, aDone);
        });
      return;
    }
    const auto giveUp = [this, aCaller, aTimeout, aDone] {
      mDeadlines.Add(mNow + aTimeout, [this, aCaller, aDone] {
        Deliver(aCaller, [aDone] { aDone({}); });
      });
    };
    if (mNodes.at(aCaller.mNode).mWritesRefused) {
      mDeadlines.Add(mNow + kLatency, [this, aCaller, aDone] {
        Deliver(aCaller, [aDone] {
          aDone({ StoreResult::NotApplied, 0, {} });
        });
      });
      return;
    }
    if (IsCutFromStore(aCaller)) {
      giveUp();
      return;
    }
    store.mTransact(
      aTransaction,
      aTimeout,
      [this, aCaller, aDone, giveUp](const TransactionOutcome& aOutcome) {
        if (IsCutFromStore(aCaller)) {
          giveUp();
          return;
        }
        Deliver(aCaller, [aDone, aOutcome] { aDone(aOutcome); });
      });
  };
  // Answers a read, or lets it fail later if the node is cut off by then.
  const auto answer = [this, aCaller](const ReadHandler& aDone,
                                      const ReadOutcome& aOutcome) {
    if (!IsCutFromStore(aCaller)) {
      Deliver(aCaller, [aDone, aOutcome] { aDone(aOutcome); });
      return;
    }
    mDeadlines.Add(mNow + kReadTimeout, [this, aCaller, aDone] {
      Deliver(aCaller, [aDone] { aDone({}); });
    });
  };
  port.mRead = [this, aCaller, store, answer](const std::string& aTable,
                                              const std::string& aPartition,
                                              const std::string& aFrom,
                                              const std::string& aTo,
                                              const ReadHandler& aDone) {
    if (IsCutFromStore(aCaller)) {
      answer(aDone, {});
      return;
    }
    store.mRead(aTable,
                aPartition,
                aFrom,
                aTo,
                [aDone, answer](const ReadOutcome& aOutcome) {
                  answer(aDone, aOutcome);
                });
  };
  port.mWaitForChanges =
    [this, aCaller, store, answer](const std::string& aTable,
                                   std::int64_t aAfter,
                                   Millis aWait,
                                   const ReadHandler& aDone) {
      if (IsCutFromStore(aCaller)) {
        answer(aDone, {});
        return;
      }
      store.mWaitForChanges(
        aTable, aAfter, aWait, [aDone, answer](const ReadOutcome& aOutcome) {
          answer(aDone, aOutcome);
        });
    };
  return port;
}

DirectoryPort
ClusterSimulation::MakeDirectoryPort(const Caller& aCaller)
{
  DirectoryPort port;
  port.mReadOperatorState = [this](Millis, const OperatorStateHandler& aDone) {
    OperatorState state;
    Route route;
    route.mHost = "host";
    route.mPathPrefix = "/queue/";
    route.mQueue.mName = "queue";
    route.mQueue.mService = "service";
    route.mQueue.mMaxAttempts = 3;
    state.mConfiguration =
      Configuration{ mConfigurationVersion, { route }, mAccounts, {} };
    aDone(ReadResult::Read, std::move(state));
  };
  port.mReadRunners =
    [this,
     aCaller](const std::function<void(
                std::optional<std::vector<dispatch::RunnerSpec>>)>& aDone) {
      if (mStore.mRefuses || IsCutFromStore(aCaller)) {
        mDeadlines.Add(mNow + kReadTimeout, [this, aCaller, aDone] {
          Deliver(aCaller, [aDone] { aDone({}); });
        });
        return;
      }
      std::vector<dispatch::RunnerSpec> runners;
      for (const auto& [id, runner] : mRunners) {
        if (!runner.mListed) {
          continue;
        }
        dispatch::RunnerSpec spec;
        spec.mId = id;
        spec.mAddress = id;
        spec.mService = "service";
        spec.mDataCentre = "zone";
        spec.mRack = runner.mRack;
        spec.mCapacity = { 16000, 64000, 0 };
        spec.mIncarnation = runner.mIncarnation;
        spec.mDraining = runner.mDraining;
        runners.push_back(spec);
      }
      aDone(std::move(runners));
    };
  return port;
}

Millis
ClusterSimulation::OpeningTime(const Caller& aCaller,
                               const std::string& aRunner) const
{
  return mOpenConnections.contains({ aCaller.mProcess, aRunner })
           ? Millis(0)
           : PathTo(aCaller, aRunner).mRoundTrip;
}

template<typename Result>
void
ClusterSimulation::SendOrder(
  const Caller& aCaller,
  const std::string& aRunner,
  Millis aTimeout,
  const std::function<void(FakeRunner&, std::function<void(Result)>)>&
    aCarryOut,
  const std::function<void(Result)>& aDone,
  const std::function<bool()>& aStillWanted)
{
  SimulatedNode& node = mNodes.at(aCaller.mNode);
  const OrderFate fate =
    mDrawFate && !node.mFrozen ? mDrawFate(aRunner) : OrderFate{};
  if (fate.mStandsStill > Millis(0)) {
    FreezeNode(aCaller.mNode);
    mDeadlines.Add(mNow + fate.mStandsStill, [this, aCaller] {
      if (mNodes.at(aCaller.mNode).mProcess == aCaller.mProcess) {
        WakeNode(aCaller.mNode,
                 ++mWakings % 2 == 0 ? OnWaking::AnswersFirst
                                     : OnWaking::TickFirst);
      }
    });
  }
  if (!node.mFrozen) {
    SendOrderNow<Result>(aCaller, aRunner, aTimeout, fate, aCarryOut, aDone);
    return;
  }
  node.mPendingCalls.push_back([=, this] {
    if constexpr (std::is_same_v<Result, RunnerResult>) {
      if (aStillWanted && !aStillWanted()) {
        aDone(RunnerResult::NotSent);
        return;
      }
    }
    SendOrderNow<Result>(aCaller, aRunner, aTimeout, {}, aCarryOut, aDone);
  });
}

template<typename Result>
void
ClusterSimulation::SendOrderNow(
  const Caller& aCaller,
  const std::string& aRunner,
  Millis aTimeout,
  const OrderFate& aFate,
  const std::function<void(FakeRunner&, std::function<void(Result)>)>&
    aCarryOut,
  const std::function<void(Result)>& aDone)
{
  auto answered = std::make_shared<bool>(false);
  // NOTE: A value-initialized result says that there was no answer, see
  // RenewalOutcome; RunnerResult has no such value.
  const auto noAnswer = [] {
    if constexpr (std::is_same_v<Result, RunnerResult>) {
      return RunnerResult::Unknown;
    } else {
      return Result{};
    }
  };
  Path path = PathTo(aCaller, aRunner);
  path.mLateness = std::max(path.mLateness, aFate.mLateness);
  constexpr bool kRenews = std::is_same_v<Result, RenewalOutcome>;
  const std::pair connection{ aCaller.mProcess, aRunner };
  const Millis opening = kRenews ? OpeningTime(aCaller, aRunner) : Millis(0);
  const Millis oneWay =
    kRenews ? std::max(kLatency, path.mRoundTrip / 2) : kLatency;
  // The time-out of a renewal starts anew once its connection is open.
  const bool opens = !path.mCut && opening <= aTimeout;
  const Millis timeout = aTimeout + (opens ? opening : Millis(0));
  mDeadlines.Add(mNow + timeout, [=, this] {
    if (!std::exchange(*answered, true)) {
      if (kRenews) {
        mOpenConnections.erase(connection);
      }
      Deliver(aCaller, [aDone, noAnswer] { aDone(noAnswer()); });
    }
  });
  if (path.mCut) {
    return;
  }
  const bool late = path.mLateness > Millis(0);
  const bool lost = late || aFate.mAnswerLost;
  const auto sentTo = mRunners.find(aRunner);
  const std::int64_t incarnation =
    sentTo == mRunners.end() ? 0 : sentTo->second.mIncarnation;
  const auto answer = [=, this](Result aResult) {
    mDeadlines.Add(mNow + oneWay, [=, this] {
      if (lost || PathTo(aCaller, aRunner).mCut ||
          std::exchange(*answered, true)) {
        return;
      }
      if constexpr (kRenews) {
        mOpenConnections.insert(connection);
      }
      Deliver(aCaller, [aDone, aResult] { aDone(aResult); });
    });
  };
  mDeadlines.Add(
    mNow + (late ? path.mLateness : opening + oneWay),
    [this, aCaller, aRunner, aCarryOut, answer, late, incarnation] {
      const auto runner = mRunners.find(aRunner);
      // A late order is past the cut already.
      const bool cut = !late && PathTo(aCaller, aRunner).mCut;
      if (runner == mRunners.end() || cut) {
        return;
      }
      if (late && !mLateOrdersReachNextProcess &&
          runner->second.mIncarnation != incarnation) {
        return;
      }
      if (runner->second.mReplaced) {
        Result rejected{};
        if constexpr (kRenews) {
          rejected.mResult = RunnerResult::WrongRunner;
        } else {
          rejected = RunnerResult::WrongRunner;
        }
        answer(rejected);
      } else if (runner->second.mUp) {
        mCarriesOutLate = late;
        aCarryOut(runner->second, answer);
        mCarriesOutLate = false;
      }
    });
}

RunnerPort
ClusterSimulation::MakeRunnerPort(const Caller& aCaller)
{
  RunnerPort port;
  port.mRenew = [this,
                 aCaller](const RunnerTarget& aTarget,
                          const RenewalOrder& aOrder,
                          const std::function<void(RenewalOutcome)>& aDone) {
    // The port decides by its connection when it sends the order, which another
    // process may carry out late.
    RenewalOrder order = aOrder;
    const auto runner = mRunners.find(aTarget.mId);
    if (runner != mRunners.end() &&
        runner->second.mIncarnation != order.mAcknowledgedProcess) {
      order.mAcknowledgedEnd = 0;
    }
    SendOrder<RenewalOutcome>(
      aCaller,
      aTarget.mId,
      aOrder.mLongPollTimeout + kRenewalTimeout,
      [this, id = aTarget.mId, order](
        FakeRunner& aRunner,
        const std::function<void(RenewalOutcome)>& aAnswer) {
        RenewalOrder carriedOut = order;
        if (!mCarriesOutLate &&
            order.mAcknowledgedProcess != aRunner.mIncarnation) {
          carriedOut.mAcknowledgedEnd = 0; // Its connection has been lost.
        }
        CarryOutRenewal(id, carriedOut, aAnswer);
      },
      aDone);
  };
  port.mStart = [this,
                 aCaller](const RunnerTarget& aTarget,
                          const StartOrder& aOrder,
                          const std::function<void(RunnerResult)>& aDone) {
    SendOrder<RunnerResult>(
      aCaller,
      aTarget.mId,
      kOrderTimeout,
      [this, id = aTarget.mId, aOrder](
        FakeRunner&, const std::function<void(RunnerResult)>& aAnswer) {
        aAnswer(CarryOutStart(id, aOrder));
      },
      aDone,
      aOrder.mStillWanted);
  };
  port.mStop = [this, aCaller](const RunnerTarget& aTarget,
                               const RunChangeOrder& aOrder,
                               const std::function<void(RunnerResult)>& aDone) {
    SendOrder<RunnerResult>(
      aCaller,
      aTarget.mId,
      kOrderTimeout,
      [this, id = aTarget.mId, aOrder](
        FakeRunner&, const std::function<void(RunnerResult)>& aAnswer) {
        aAnswer(CarryOutStop(id, aOrder));
      },
      aDone);
  };
  port.mSetPace = [this,
                   aCaller](const RunnerTarget& aTarget,
                            const RunChangeOrder& aOrder,
                            const std::function<void(RunnerResult)>& aDone) {
    SendOrder<RunnerResult>(
      aCaller,
      aTarget.mId,
      kOrderTimeout,
      [aOrder](FakeRunner& aRunner,
               const std::function<void(RunnerResult)>& aAnswer) {
        const bool fenced = aOrder.mFencingToken < aRunner.mFencingToken;
        aAnswer(fenced ? RunnerResult::Fenced : RunnerResult::Done);
      },
      aDone);
  };
  return port;
}

std::int64_t
ClusterSimulation::ClockOf(const FakeRunner& aRunner) const
{
  const auto since =
    std::chrono::duration_cast<Millis>(mNow - aRunner.mClockSetAt);
  return aRunner.mClockSetMs +
         static_cast<std::int64_t>(static_cast<double>(since.count()) *
                                   aRunner.mClockRate);
}

MonotonicTime
ClusterSimulation::ClockOf(const SimulatedNode& aNode) const
{
  const auto since =
    std::chrono::duration_cast<Micros>(mNow - aNode.mClockSetAt);
  return aNode.mClockSet +
         Micros(static_cast<Micros::rep>(static_cast<double>(since.count()) *
                                         aNode.mClockRate));
}

void
ClusterSimulation::SetNodeClockRate(const std::string& aName, double aRate)
{
  SimulatedNode& node = mNodes.at(aName);
  node.mClockSet = ClockOf(node);
  node.mClockSetAt = mNow;
  node.mClockRate = aRate;
}

void
ClusterSimulation::SetClockRate(const std::string& aRunner, double aRate)
{
  FakeRunner& runner = mRunners.at(aRunner);
  runner.mClockSetMs = ClockOf(runner);
  runner.mClockSetAt = mNow;
  runner.mClockRate = aRate;
}

void
ClusterSimulation::NoteLapse(FakeRunner& aRunner) const
{
  if (ClockOf(aRunner) < aRunner.mLeaseEndMs) {
    return;
  }
  for (UnnotedEnd& end : aRunner.mUnnotedEnds) {
    end.mLapsed = true;
  }
}

void
ClusterSimulation::ExtendLease(FakeRunner& aRunner,
                               std::int64_t aLeaseEndMs) const
{
  aRunner.mLeaseEndMs =
    std::max(aRunner.mLeaseEndMs,
             std::min(aLeaseEndMs, ClockOf(aRunner) + mMaxLease.count()));
}

void
ClusterSimulation::CarryOutRenewal(
  const std::string& aRunner,
  const RenewalOrder& aOrder,
  const std::function<void(const RenewalOutcome&)>& aAnswer)
{
  FakeRunner& runner = mRunners.at(aRunner);
  if (aOrder.mFencingToken < runner.mFencingToken) {
    RenewalOutcome outcome;
    outcome.mResult = RunnerResult::Fenced;
    aAnswer(outcome);
    return;
  }
  runner.mFencingToken = aOrder.mFencingToken;
  NoteLapse(runner);
  ExtendLease(runner, aOrder.mLeaseEndMs);
  std::erase_if(runner.mUnnotedEnds, [&](const UnnotedEnd& aEnd) {
    const bool acknowledged = aEnd.mNumber <= aOrder.mAcknowledgedEnd;
    if (acknowledged && !aEnd.mLapsed) {
      mNotedEnds[aEnd.mTask].push_back({ aRunner, aEnd.mRun, aEnd.mAt, mNow });
    }
    return acknowledged;
  });
  std::erase_if(runner.mEnds, [&](const dispatch::EndEntry& aEnd) {
    return aEnd.mNumber <= aOrder.mAcknowledgedEnd;
  });
  // Answers once: when a run ends, or when the long poll is over.
  const auto answer = [this,
                       aRunner,
                       aAnswer,
                       incarnation = runner.mIncarnation,
                       answered = std::make_shared<bool>(false)] {
    const FakeRunner& current = mRunners.at(aRunner);
    const bool sameProcess = current.mUp && current.mIncarnation == incarnation;
    if (!sameProcess || std::exchange(*answered, true)) {
      return;
    }
    RenewalOutcome outcome;
    outcome.mResult = RunnerResult::Done;
    outcome.mReport.mClockMs = ClockOf(current);
    outcome.mReport.mIncarnation = current.mIncarnation;
    outcome.mReport.mEnds = current.mEnds;
    for (const FakeRun& run : current.mRunning) {
      outcome.mReport.mRunning.push_back(
        { *dispatch::ParseTaskName(run.mTask), run.mRun, {}, 50, 0 });
    }
    aAnswer(outcome);
  };
  const bool waits = aOrder.mLongPollTimeout > Millis(0) &&
                     runner.mEnds.empty() && !runner.mRunning.empty();
  if (!waits) {
    answer();
    return;
  }
  runner.mLongPolls.emplace_back(answer);
  mDeadlines.Add(mNow + aOrder.mLongPollTimeout, answer);
}

RunnerResult
ClusterSimulation::CarryOutStart(const std::string& aRunner,
                                 const StartOrder& aOrder)
{
  FakeRunner& runner = mRunners.at(aRunner);
  if (aOrder.mFencingToken < runner.mFencingToken) {
    return RunnerResult::Fenced;
  }
  runner.mFencingToken = aOrder.mFencingToken;
  NoteLapse(runner);
  ExtendLease(runner, aOrder.mLeaseEndMs);
  if (aOrder.mLeaseEndMs <= ClockOf(runner)) {
    return RunnerResult::LeaseAlreadyEnded;
  }
  const bool running = std::any_of(
    runner.mRunning.begin(), runner.mRunning.end(), [&](const FakeRun& aRun) {
      return aRun.mTask == aOrder.mTask && aRun.mRun == aOrder.mRun;
    });
  if (running) {
    return RunnerResult::Done;
  }
  const auto ended = runner.mHighestEndedRun.find(aOrder.mTask);
  if (ended != runner.mHighestEndedRun.end() && aOrder.mRun <= ended->second) {
    return RunnerResult::OldRunNumber;
  }
  ++mStarts;
  runner.mRunning.push_back({ aOrder.mTask, aOrder.mRun });
  mHistory[aOrder.mTask].push_back(
    { aRunner, aOrder.mRun, mNow, {}, mCarriesOutLate });
  return RunnerResult::Done;
}

RunnerResult
ClusterSimulation::CarryOutStop(const std::string& aRunner,
                                const RunChangeOrder& aOrder)
{
  FakeRunner& runner = mRunners.at(aRunner);
  if (aOrder.mFencingToken < runner.mFencingToken) {
    return RunnerResult::Fenced;
  }
  runner.mFencingToken = aOrder.mFencingToken;
  std::int64_t& highest = runner.mHighestEndedRun[aOrder.mTask];
  highest = std::max(highest, aOrder.mRun);
  for (const FakeRun& run : std::vector<FakeRun>(runner.mRunning)) {
    if (run.mTask == aOrder.mTask && run.mRun == aOrder.mRun) {
      EndRunAt(aRunner, run, dispatch::EndKind::Stopped);
    }
  }
  return RunnerResult::Done;
}

void
ClusterSimulation::RecordEnd(const std::string& aRunner, const FakeRun& aRun)
{
  for (RunRecord& record : mHistory[aRun.mTask]) {
    if (record.mRunner == aRunner && record.mRun == aRun.mRun && !record.mTo) {
      record.mTo = mNow;
    }
  }
}

void
ClusterSimulation::EndRunAt(const std::string& aRunner,
                            const FakeRun& aRun,
                            dispatch::EndKind aKind)
{
  FakeRunner& runner = mRunners.at(aRunner);
  const FakeRun run = aRun; // The parameter may be an entry of mRunning.
  std::erase_if(runner.mRunning, [&](const FakeRun& aOther) {
    return aOther.mTask == run.mTask && aOther.mRun == run.mRun;
  });
  std::int64_t& highest = runner.mHighestEndedRun[run.mTask];
  highest = std::max(highest, run.mRun);
  if (aKind == dispatch::EndKind::Done) {
    runner.mUnnotedEnds.push_back(
      { runner.mNextEnd, run.mTask, run.mRun, mNow, false });
  }
  runner.mEnds.push_back({ runner.mNextEnd++,
                           *dispatch::ParseTaskName(run.mTask),
                           run.mRun,
                           aKind,
                           {} });
  RecordEnd(aRunner, run);
  for (const std::function<void()>& answer :
       std::exchange(runner.mLongPolls, {})) {
    answer();
  }
}

void
ClusterSimulation::ExpireLeases()
{
  for (auto& [id, runner] : mRunners) {
    NoteLapse(runner);
    if (runner.mRunning.empty() || ClockOf(runner) < runner.mLeaseEndMs) {
      continue;
    }
    for (const FakeRun& run : std::vector<FakeRun>(runner.mRunning)) {
      EndRunAt(id, run, dispatch::EndKind::LeaseExpired);
    }
  }
}

void
ClusterSimulation::StartNode(const std::string& aName)
{
  KillNode(aName);
  SimulatedNode& node = mNodes[aName];
  node.mProcess = mNextProcess++;
  const Caller caller{ aName, node.mProcess };
  node.mContext = {};
  node.mContext.mSelf.mName = aName;
  node.mContext.mSelf.mIncarnation = mNextIncarnation++;
  node.mContext.mSelf.mMilliCores = 100;
  node.mContext.mPartitions = mPartitions;
  node.mContext.mSettings.mStoreLimits = mStore.mLimits;
  node.mContext.mSettings.mDispatch.mMaxLease = mMaxLease;
  node.mContext.mStore = MakeStorePort(caller);
  node.mContext.mRunners = MakeRunnerPort(caller);
  node.mContext.mDirectory = MakeDirectoryPort(caller);
  node.mContext.mDeadlines = &node.mDeadlines;
  node.mContext.mLog = &mLog;
  node.mContext.mMetrics = &mMetrics;
  node.mContext.mClock = [this, &node] { return ClockOf(node); };
  node.mNode = std::make_unique<Node>(node.mContext);
  node.mNode->Begin();
}

void
ClusterSimulation::KillNode(const std::string& aName)
{
  const auto found = mNodes.find(aName);
  if (found == mNodes.end()) {
    return;
  }
  SimulatedNode& node = found->second;
  node.mNode.reset();
  node.mFrozen = false;
  node.mPendingAnswers.clear();
  node.mPendingCalls.clear();
  node.mDeadlines = {};
}

void
ClusterSimulation::FreezeNode(const std::string& aName)
{
  mNodes.at(aName).mFrozen = true;
}

void
ClusterSimulation::WakeNode(const std::string& aName, OnWaking aOrder)
{
  SimulatedNode& node = mNodes.at(aName);
  if (!std::exchange(node.mFrozen, false) || !node.mNode) {
    return;
  }
  for (const std::function<void()>& call :
       std::exchange(node.mPendingCalls, {})) {
    call();
  }
  if (aOrder == OnWaking::TickFirst) {
    node.mDeadlines.Expire(ClockOf(node));
    node.mNode->Tick(ClockOf(node));
  }
  for (std::function<void()>& answer :
       std::exchange(node.mPendingAnswers, {})) {
    if (node.mFrozen) { // By an order that an answer has led to.
      node.mPendingAnswers.push_back(std::move(answer));
    } else {
      answer();
    }
  }
}

void
ClusterSimulation::CutFromStore(const std::string& aName, bool aCut)
{
  mNodes.at(aName).mCutFromStore = aCut;
}

void
ClusterSimulation::SetPath(const std::string& aNode,
                           const std::string& aRunner,
                           const Path& aPath)
{
  mPaths[{ aNode, aRunner }] = aPath;
}

void
ClusterSimulation::RemoveRunner(const std::string& aRunner, Millis aListedFor)
{
  FakeRunner& runner = mRunners.at(aRunner);
  for (const FakeRun& run : std::exchange(runner.mRunning, {})) {
    RecordEnd(aRunner, run);
  }
  runner.mLongPolls.clear();
  runner.mUp = false;
  if (aListedFor == Millis(0)) {
    runner.mListed = false;
    return;
  }
  mDeadlines.Add(mNow + aListedFor,
                 [this, aRunner, incarnation = runner.mIncarnation] {
                   FakeRunner& current = mRunners.at(aRunner);
                   if (current.mIncarnation == incarnation) {
                     current.mListed = false;
                   }
                 });
}

void
ClusterSimulation::RestartRunner(const std::string& aRunner)
{
  RemoveRunner(aRunner, Millis(0));
  FakeRunner& runner = mRunners.at(aRunner);
  FakeRunner next;
  next.mIncarnation = runner.mIncarnation + 1;
  next.mClockSetAt = mNow;
  next.mClockRate = runner.mClockRate;
  runner = std::move(next);
}

void
ClusterSimulation::ReplaceRunner(const std::string& aRunner,
                                 const std::string& aBy,
                                 Millis aListedFor)
{
  RemoveRunner(aRunner, aListedFor);
  mRunners.at(aRunner).mReplaced = true;
  FakeRunner& next = mRunners[aBy];
  next.mClockSetAt = mNow;
}

void
ClusterSimulation::AdvanceTime(Millis aTime)
{
  for (Millis passed(0); passed < aTime; passed += kTimeStep) {
    for (Millis part(0); part < kTimeStep; part += kMessageStep) {
      mNow += kMessageStep;
      mDeadlines.Expire(mNow);
      ExpireLeases();
      for (auto& [name, node] : mNodes) {
        if (!node.mFrozen) {
          node.mDeadlines.Expire(ClockOf(node));
        }
      }
    }
    for (auto& [name, node] : mNodes) {
      if (node.mNode && !node.mFrozen) {
        node.mNode->Tick(ClockOf(node));
      }
    }
    mStore.Run();
  }
}

std::string
ClusterSimulation::AwaitOwner(std::int64_t aAtLeastEpoch, Millis aTimeout)
{
  for (Millis passed(0); passed < aTimeout; passed += kTimeStep) {
    const ShardRow row = Shard();
    if (row.mEpoch >= aAtLeastEpoch && !row.mOwner.empty()) {
      return row.mOwner;
    }
    AdvanceTime(kTimeStep);
  }
  return {};
}

ClientAnswer
ClusterSimulation::Submit(const std::string& aNode,
                          const std::string& aJob,
                          dispatch::StepKind aKind,
                          std::uint32_t aTasks)
{
  dispatch::JobSpec job;
  job.mId = aJob;
  job.mQueue = "queue";
  dispatch::StepSpec step;
  step.mTaskCount = aTasks;
  step.mDemand = { 1000, 1000, 0 };
  step.mEstimatedDuration = Millis(800);
  step.mKind = aKind;
  job.mSteps.push_back(step);
  ClientAnswer answer = ClientAnswer::Unavailable;
  mNodes.at(aNode).mNode->FrontEnd().Submit(
    std::move(job), [&answer](ClientAnswer aAnswer) { answer = aAnswer; });
  AdvanceTime(Seconds(3));
  return answer;
}

StatusAnswer
ClusterSimulation::Status(const std::string& aNode, const std::string& aJob)
{
  StatusAnswer answer;
  mNodes.at(aNode).mNode->FrontEnd().Status(
    aJob, [&answer](const StatusAnswer& aAnswer) { answer = aAnswer; });
  AdvanceTime(Millis(100));
  return answer;
}

void
ClusterSimulation::EndRun(const std::string& aTask, dispatch::EndKind aKind)
{
  for (auto& [id, runner] : mRunners) {
    for (const FakeRun& run : runner.mRunning) {
      if (run.mTask == aTask) {
        EndRunAt(id, run, aKind);
        return;
      }
    }
  }
}

std::size_t
ClusterSimulation::Running(const std::string& aTask) const
{
  std::size_t running = 0;
  for (const auto& [id, runner] : mRunners) {
    running += static_cast<std::size_t>(std::count_if(
      runner.mRunning.begin(), runner.mRunning.end(), [&](const FakeRun& aRun) {
        return aRun.mTask == aTask;
      }));
  }
  return running;
}

std::string
ClusterSimulation::RunnerOf(const std::string& aTask) const
{
  for (const auto& [id, runner] : mRunners) {
    for (const FakeRun& run : runner.mRunning) {
      if (run.mTask == aTask) {
        return id;
      }
    }
  }
  return {};
}

std::optional<MonotonicTime>
ClusterSimulation::StartedAfter(const std::string& aTask,
                                MonotonicTime aTime) const
{
  const auto records = mHistory.find(aTask);
  if (records == mHistory.end()) {
    return {};
  }
  for (const RunRecord& record : records->second) {
    if (record.mFrom > aTime) {
      return record.mFrom;
    }
  }
  return {};
}

std::string
ClusterSimulation::Overlap() const
{
  for (const auto& [task, records] : mHistory) {
    for (std::size_t i = 1; i < records.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        // The records are in the order of their beginnings.
        if (!records[j].mTo || *records[j].mTo > records[i].mFrom) {
          return HistoryOf(task);
        }
      }
    }
  }
  return {};
}

std::string
ClusterSimulation::StartAfterEnd(
  const std::function<bool(const RunRecord&, const NotedEnd&)>& aIsAfter) const
{
  for (const auto& [task, ends] : mNotedEnds) {
    const std::vector<RunRecord>& records = mHistory.at(task);
    for (const NotedEnd& end : ends) {
      if (std::any_of(
            records.begin(), records.end(), [&](const RunRecord& aRecord) {
              return aIsAfter(aRecord, end);
            })) {
        return HistoryOf(task) + " run " + std::to_string(end.mRun) + " on " +
               end.mRunner + " done at " + std::to_string(SinceBegin(end.mAt)) +
               ", noted at " + std::to_string(SinceBegin(end.mNotedAt));
      }
    }
  }
  return {};
}

std::string
ClusterSimulation::StartAfterNotedEnd() const
{
  return StartAfterEnd([](const RunRecord& aRecord, const NotedEnd& aEnd) {
    return aRecord.mFrom > aEnd.mAt;
  });
}

std::string
ClusterSimulation::OrderAfterNotedEnd() const
{
  return StartAfterEnd([](const RunRecord& aRecord, const NotedEnd& aEnd) {
    return !aRecord.mLate && aRecord.mFrom > aEnd.mNotedAt + Seconds(1);
  });
}

std::string
ClusterSimulation::HistoryOf(const std::string& aTask) const
{
  std::string text = aTask + ":";
  const auto records = mHistory.find(aTask);
  if (records == mHistory.end()) {
    return text + " never started";
  }
  for (const RunRecord& record : records->second) {
    text += " " + record.mRunner + " run " + std::to_string(record.mRun) +
            " from " + std::to_string(SinceBegin(record.mFrom)) + " to " +
            (record.mTo ? std::to_string(SinceBegin(*record.mTo)) : "now") +
            ";";
  }
  return text;
}

ShardRow
ClusterSimulation::Shard() const
{
  return ParseShardRow(mStore.Value(kClusterTable, ShardKey(0)))
    .value_or(ShardRow{});
}

std::int64_t
ClusterSimulation::SinceBegin(MonotonicTime aTime) const
{
  return std::chrono::duration_cast<Millis>(aTime -
                                            MonotonicTime{ Seconds(1000) })
    .count();
}

} // namespace paddle
