#include "LeaseSimulation.h"

#include <memory>

#include <LibLease/LeaseTable.h>
#include <StandIns/Platform/MemoryPorts.h>

namespace paddle {

namespace {

constexpr VirtualTime kTick = Millis(100);
constexpr VirtualTime kStoreTimeout = Millis(1000);
constexpr VirtualTime kPromiseTimeout = Millis(500);

/// Longest time from the sending of a late write until it arrives.
constexpr std::uint64_t kMaxLateArrivalMs = 20000;

} // namespace

LeaseSimulation::LeaseSimulation(LeaseSimulationSettings aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
  for (unsigned i = 0; i < mSettings.mShards; ++i) {
    mShardPlaces.push_back(
      { "s" + std::to_string(i), i % 2 == 0 ? "dc-1" : "dc-2", "r1" });
  }
}

void
LeaseSimulation::Start(const std::string& aName,
                       const std::string& aDataCentre,
                       const std::string& aRegion)
{
  Process& process = mProcesses[aName];
  process.mDataCentre = aDataCentre;
  process.mRegion = aRegion;
  Restart(aName);
}

void
LeaseSimulation::Restart(const std::string& aName)
{
  Process& process = mProcesses.at(aName);
  process.mAlive = true;
  ++process.mStartCount;
  // Clock rates deviate by up to 2% in both directions; quartz clocks deviate
  // far less.
  process.mRate = 0.98 + 0.0001 * static_cast<double>(Random(401));
  process.mOffset = Seconds(Random(100000));
  process.mPausedUntil = mNow;
  const LeaseMember self{
    aName,           aName + "." + std::to_string(process.mStartCount),
    "gateway",       process.mDataCentre,
    process.mRegion, aName
  };
  process.mState = MakeLeaseState(mSettings.mTimes, self, LocalTime(process));
  process.mState.mShardPlaces = mShardPlaces;
  RunInProcess(
    aName, mNow + Millis(Random(300)), [this, aName] { RunNextAction(aName); });
}

void
LeaseSimulation::Kill(const std::string& aName)
{
  mProcesses.at(aName).mAlive = false;
}

void
LeaseSimulation::Pause(const std::string& aName, VirtualTime aDuration)
{
  mProcesses.at(aName).mPausedUntil = mNow + aDuration;
}

void
LeaseSimulation::Leave(const std::string& aName)
{
  Process& process = mProcesses.at(aName);
  BeginLeave(process.mState, LocalTime(process));
}

void
LeaseSimulation::PartitionFromStore(const std::string& aName, bool aPartitioned)
{
  mProcesses.at(aName).mPartitionedFromStore = aPartitioned;
}

void
LeaseSimulation::PartitionPeers(const std::string& aOne,
                                const std::string& aOther,
                                bool aPartitioned)
{
  for (const auto& pair :
       { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    if (aPartitioned) {
      mPartitionedPeers.insert(pair);
    } else {
      mPartitionedPeers.erase(pair);
    }
  }
}

void
LeaseSimulation::SetWriteFaults(unsigned aLostAnswersPerMille,
                                unsigned aLateWritesPerMille)
{
  mSettings.mLostAnswersPerMille = aLostAnswersPerMille;
  mSettings.mLateWritesPerMille = aLateWritesPerMille;
}

void
LeaseSimulation::Release(const std::string& aName)
{
  const std::string& incarnation =
    mProcesses.at(aName).mState.mSelf.mIncarnation;
  mTable.Transact({ {},
                    { { kReleasePrefix + aName,
                        R"({"incarnation":")" + incarnation + R"("})" } } });
}

void
LeaseSimulation::RunFor(VirtualTime aDuration)
{
  const VirtualTime end = mNow + aDuration;
  while (!mEvents.empty() && mEvents.top().mTime <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    event.mRun();
    if (std::exchange(mStateChanged, false)) {
      CheckAllShards();
    }
  }
  mNow = end;
  CheckAllShards();
}

bool
LeaseSimulation::IsAlive(const std::string& aName) const
{
  return mProcesses.at(aName).mAlive;
}

std::vector<std::string>
LeaseSimulation::OwnersOf(const std::string& aShard) const
{
  std::vector<std::string> owners;
  for (const auto& [name, process] : mProcesses) {
    if (process.mAlive &&
        FindOwned(process.mState, aShard, LocalTime(process))) {
      owners.push_back(name);
    }
  }
  return owners;
}

int
LeaseSimulation::OwnedBy(const std::string& aName) const
{
  const Process& process = mProcesses.at(aName);
  int owned = 0;
  for (const ShardPlace& place : mShardPlaces) {
    owned +=
      process.mAlive && FindOwned(process.mState, place.mId, LocalTime(process))
        ? 1
        : 0;
  }
  return owned;
}

int
LeaseSimulation::TotalOwned() const
{
  int owned = 0;
  for (const auto& [name, process] : mProcesses) {
    owned += OwnedBy(name);
  }
  return owned;
}

std::optional<HeldShard>
LeaseSimulation::HeldShardOf(const std::string& aShard) const
{
  const std::vector<std::string> owners = OwnersOf(aShard);
  if (owners.empty()) {
    return std::nullopt;
  }
  const Process& process = mProcesses.at(owners.front());
  return *FindOwned(process.mState, aShard, LocalTime(process));
}

const LeaseState&
LeaseSimulation::StateOf(const std::string& aName) const
{
  return mProcesses.at(aName).mState;
}

MonotonicTime
LeaseSimulation::LocalTime(const Process& aProcess) const
{
  const VirtualTime local(static_cast<std::int64_t>(
    static_cast<double>(mNow.count()) * aProcess.mRate));
  return MonotonicTime(local + aProcess.mOffset);
}

VirtualTime
LeaseSimulation::NetworkDelay()
{
  return VirtualTime(500 + Random(30000));
}

/// @return the time from a process to the store, or back
VirtualTime
LeaseSimulation::StoreDelay()
{
  return mStoreCallTime ? *mStoreCallTime / 2 : NetworkDelay();
}

/// @return the time until a failed call returns, after it has reached the store
VirtualTime
LeaseSimulation::FailureDelay()
{
  return mStoreCallTime ? *mStoreCallTime / 2
                        : VirtualTime(Millis(Random(1000)));
}

void
LeaseSimulation::RunAt(VirtualTime aTime, std::function<void()> aRun)
{
  mEvents.push({ aTime, mNextOrder++, std::move(aRun) });
}

void
LeaseSimulation::RunInProcess(const std::string& aName,
                              VirtualTime aTime,
                              std::function<void()> aRun)
{
  const unsigned startCount = mProcesses.at(aName).mStartCount;
  RunAt(aTime, [this, aName, startCount, run = std::move(aRun)] {
    const Process& process = mProcesses.at(aName);
    if (!process.mAlive || process.mStartCount != startCount) {
      return;
    }
    if (process.mPausedUntil > mNow) {
      RunInProcess(aName, process.mPausedUntil, run);
      return;
    }
    run();
    mStateChanged = true;
  });
}

void
LeaseSimulation::RunNextAction(const std::string& aName)
{
  Process& process = mProcesses.at(aName);
  for (auto& [shard, stopping] : process.mState.mStoppingShards) {
    stopping.mQuiescent = stopping.mQuiescent || Random(10) < 7;
  }
  const auto action = NextAction(process.mState, LocalTime(process));
  if (!action) {
    RunNextActionAfterTick(aName);
    return;
  }
  // The delay lets a pause begin between the decision and the sending.
  RunInProcess(aName, mNow + VirtualTime(50), [this, aName, action = *action] {
    Send(aName, action);
  });
}

void
LeaseSimulation::RunNextActionAfterTick(const std::string& aName)
{
  RunInProcess(aName, mNow + kTick, [this, aName] { RunNextAction(aName); });
}

void
LeaseSimulation::Send(const std::string& aName, const LeaseAction& aAction)
{
  if (const auto* write = std::get_if<WriteLeaseRows>(&aAction)) {
    SendWrite(aName, *write);
  } else if (const auto* read = std::get_if<ReadLeaseRows>(&aAction)) {
    SendRead(aName, *read);
  } else {
    SendPromise(aName, std::get<AskPromise>(aAction));
  }
}

bool
LeaseSimulation::StoreReachable(const std::string& aName) const
{
  return !mOutage && !mProcesses.at(aName).mPartitionedFromStore;
}

void
LeaseSimulation::SendWrite(const std::string& aName,
                           const WriteLeaseRows& aAction)
{
  const MonotonicTime sent = LocalTime(mProcesses.at(aName));
  const auto report =
    [this, aName, aAction, sent](const LeaseWriteResult& aResult) {
      Process& process = mProcesses.at(aName);
      ReportWrite(process.mState, aAction, aResult, sent, LocalTime(process));
      if (aResult.mStatus == LeaseWriteStatus::Committed ||
          aResult.mStatus == LeaseWriteStatus::Conflict) {
        RunNextAction(aName);
      } else {
        RunNextActionAfterTick(aName);
      }
    };
  const LeaseWriteResult unknown{ LeaseWriteStatus::Unknown, 0, std::nullopt };
  const std::uint64_t randomPerMille = Random(1000);
  if (randomPerMille < mSettings.mLateWritesPerMille) {
    RunAt(mNow + Millis(Random(kMaxLateArrivalMs)), [this, aName, aAction] {
      if (StoreReachable(aName)) {
        ExecuteWrite(MakeMemoryTablePort(mTable), aAction);
      }
    });
    RunInProcess(
      aName, mNow + kStoreTimeout, [report, unknown] { report(unknown); });
    return;
  }
  const bool loseAnswer = randomPerMille < mSettings.mLateWritesPerMille +
                                             mSettings.mLostAnswersPerMille;
  RunAt(mNow + StoreDelay(), [=, this] {
    if (!StoreReachable(aName)) {
      LeaseWriteResult failed = unknown;
      if (Random(2) == 0) {
        failed.mStatus = LeaseWriteStatus::Unavailable;
      }
      RunInProcess(
        aName, mNow + FailureDelay(), [report, failed] { report(failed); });
      return;
    }
    const LeaseWriteResult result =
      ExecuteWrite(MakeMemoryTablePort(mTable), aAction);
    RunInProcess(
      aName,
      mNow + (loseAnswer ? kStoreTimeout : StoreDelay()),
      [report, answer = loseAnswer ? unknown : result] { report(answer); });
  });
}

void
LeaseSimulation::SendRead(const std::string& aName,
                          const ReadLeaseRows& aAction)
{
  RunAt(mNow + StoreDelay(), [=, this] {
    if (!StoreReachable(aName)) {
      RunInProcess(aName, mNow + FailureDelay(), [this, aName] {
        Process& process = mProcesses.at(aName);
        ReportReadFailure(process.mState, LocalTime(process));
        RunNextActionAfterTick(aName);
      });
      return;
    }
    const LeaseRows rows =
      ValueOf(ExecuteRead(MakeMemoryTablePort(mTable), aAction));
    RunInProcess(aName, mNow + StoreDelay(), [this, aName, aAction, rows] {
      Process& process = mProcesses.at(aName);
      ReportRead(process.mState, aAction, rows, LocalTime(process));
      RunNextAction(aName);
    });
  });
}

void
LeaseSimulation::SendPromise(const std::string& aName,
                             const AskPromise& aAction)
{
  const MonotonicTime sent = LocalTime(mProcesses.at(aName));
  // The call ends with the answer or the time-out, whichever comes first.
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, aName, aAction, sent, ended](bool aGranted) {
    if (std::exchange(*ended, true)) {
      return;
    }
    Process& process = mProcesses.at(aName);
    ReportPromise(process.mState, aAction, aGranted, sent, LocalTime(process));
    RunNextAction(aName);
  };
  RunInProcess(aName, mNow + kPromiseTimeout, [end] { end(false); });
  const std::string peer = aAction.mPeer.mName;
  if (mPartitionedPeers.contains({ aName, peer }) ||
      !mProcesses.contains(peer)) {
    return;
  }
  RunInProcess(peer, mNow + NetworkDelay(), [=, this] {
    Process& process = mProcesses.at(peer);
    GrantPromise(process.mState, aName, aAction.mTerm, LocalTime(process));
    RunInProcess(aName, mNow + NetworkDelay(), [end] { end(true); });
  });
}

void
LeaseSimulation::CheckAllShards()
{
  for (const ShardPlace& place : mShardPlaces) {
    CheckShard(place.mId);
  }
}

void
LeaseSimulation::CheckShard(const std::string& aShard)
{
  const std::vector<std::string> owners = OwnersOf(aShard);
  if (owners.empty() || !mViolation.empty()) {
    return;
  }
  const std::string where =
    " at " + std::to_string(mNow.count()) + " us, shard " + aShard;
  if (owners.size() > 1) {
    mViolation = "two owners " + owners[0] + " and " + owners[1] + where;
    return;
  }
  std::uint64_t& last = mHighestEpochs[aShard];
  const std::uint64_t epoch = HeldShardOf(aShard)->mEpoch;
  if (epoch < last) {
    mViolation = "epoch " + std::to_string(epoch) + " after " +
                 std::to_string(last) + where;
  }
  last = epoch;
}

} // namespace paddle
