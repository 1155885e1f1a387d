#include <LibDispatch/AccountGrants.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

constexpr Millis kStep{ 50 };
constexpr std::int64_t kRunnerCapacity = 8;
constexpr std::size_t kRunnersPerShard = 3;

/// A run on a runner of a shard.
struct ModelRun
{
  std::int64_t mDemand = 0;
  MonotonicTime mEndsAt;
};

struct ModelRunner
{
  std::int64_t mFencingToken = 0;
  std::vector<ModelRun> mRuns;
};

/// A start order under way.
struct ModelOrder
{
  std::size_t mRunner = 0;
  ModelRun mRun;
  MonotonicTime mArrivesAt;
  std::int64_t mEpoch = 0;
  MonotonicTime mRowAsOf; ///< Of the row by which it was decided.
};

/// A process that owns a shard, or believes so.
struct ModelOwner
{
  GrantContext mContext;
  std::int64_t mVersion = 0; ///< Of its configuration.
  AccountGrants mGrants;
  Resources mBudget;
  std::vector<bool> mAnswered; ///< By runner.
  std::vector<ModelOrder> mOrders;
  bool mFrozen = false;
  bool mEnded = false;
  bool mReads = false; ///< Whether a read is under way.
  MonotonicTime mNextReadAt;
  MonotonicTime mNextWriteAt;
  /// Answers that arrived while it was frozen.
  std::vector<std::function<void()>> mHeldAnswers;
};

struct ModelShard
{
  std::vector<ModelRunner> mRunners{ kRunnersPerShard };
  std::deque<std::int64_t> mWaiting; ///< Demands of waiting tasks.
  std::int64_t mEpoch = 0;
  std::shared_ptr<ModelOwner> mOwner; ///< The latest one.
  MonotonicTime mClaimedAt;
};

/// Shards, their owners and the row of one account, in virtual time.
struct Model
{
  std::mt19937 mRandom;
  MonotonicTime mNow{ Seconds(1000) };
  std::vector<ModelShard> mShards;
  std::vector<std::shared_ptr<ModelOwner>> mOwners; ///< Former ones, too.
  std::optional<GrantsRow> mRow;
  std::int64_t mRowVersion = 0;
  std::int64_t mStoreVersion = 1;
  std::vector<std::int64_t> mCaps; ///< By version of the configuration.
  std::multimap<MonotonicTime, std::function<void()>> mEvents;
  /// By cap: when a process last applied it.
  std::map<std::int64_t, MonotonicTime> mAppliedCaps;
  bool mDisturbed = true;
  std::uint32_t mBusyShard = 0;    ///< The one with demand after that.
  std::int64_t mTaskMillis = 3000; ///< Longest duration of a task.

  Model(std::uint32_t aSeed, std::size_t aShards)
    : mRandom(aSeed)
    , mShards(aShards)
    , mCaps{ 0, RandomCap() }
  {
    for (std::uint32_t i = 0; i < aShards; ++i) {
      Claim(i);
    }
  }

  std::uint32_t Below(std::uint32_t aBound) { return mRandom() % aBound; }
  std::int64_t RandomCap() { return 3 + Below(14); }
  void After(Millis aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aTime, std::move(aEvent));
  }

  /// Lets a process answer now, or when it wakes, unless it has ended.
  static void Deliver(const std::shared_ptr<ModelOwner>& aOwner,
                      const std::function<void()>& aAnswer)
  {
    if (aOwner->mFrozen) {
      aOwner->mHeldAnswers.push_back(aAnswer);
    } else if (!aOwner->mEnded) {
      aAnswer();
    }
  }

  void Claim(std::uint32_t aShard)
  {
    ModelShard& shard = mShards[aShard];
    auto owner = std::make_shared<ModelOwner>();
    owner->mContext = { aShard, ++shard.mEpoch, {} };
    owner->mAnswered.resize(kRunnersPerShard, false);
    shard.mOwner = owner;
    shard.mClaimedAt = mNow;
    mOwners.push_back(owner);
    Configure(owner,
              static_cast<std::int64_t>(mCaps.size()) - 1 -
                (mDisturbed && mCaps.size() > 2 ? Below(2) : 0));
    After(Millis(2000), [this, owner] {
      Configure(owner, static_cast<std::int64_t>(mCaps.size()) - 1);
    });
  }

  void Configure(const std::shared_ptr<ModelOwner>& aOwner,
                 std::int64_t aVersion)
  {
    Deliver(aOwner, [this, aOwner, aVersion] {
      if (aVersion > aOwner->mVersion) {
        aOwner->mVersion = aVersion;
        aOwner->mContext.mCap = { mCaps[static_cast<std::size_t>(aVersion)],
                                  0,
                                  0 };
        Decide(aOwner);
      }
    });
  }

  void ChangeCap()
  {
    mCaps.push_back(RandomCap());
    const auto version = static_cast<std::int64_t>(mCaps.size()) - 1;
    for (const auto& owner : mOwners) {
      After(Millis(Below(2000)),
            [this, owner, version] { Configure(owner, version); });
    }
  }

  AccountDemand DemandOf(const ModelOwner& aOwner) const
  {
    const ModelShard& shard = mShards[aOwner.mContext.mShard];
    AccountDemand demand;
    for (std::size_t i = 0; i < kRunnersPerShard; ++i) {
      if (!aOwner.mAnswered[i]) {
        demand.mAssumed.mMilliCores += kRunnerCapacity;
        continue;
      }
      for (const ModelRun& run : shard.mRunners[i].mRuns) {
        demand.mUse.mMilliCores += run.mDemand;
      }
    }
    for (const ModelOrder& order : aOwner.mOrders) {
      demand.mUse.mMilliCores += order.mRun.mDemand;
    }
    for (const std::int64_t waiting : shard.mWaiting) {
      demand.mUnits.push_back({ { waiting, 0, 0 }, 1, false });
    }
    return demand;
  }

  void Decide(const std::shared_ptr<ModelOwner>& aOwner)
  {
    ModelOwner& owner = *aOwner;
    const GrantDecision decision =
      DecideGrant(owner.mGrants, owner.mContext, DemandOf(owner), mNow);
    owner.mBudget = decision.mBudget;
    if (!decision.mWrite || owner.mGrants.mInFlight ||
        mNow < owner.mNextWriteAt) {
      return;
    }
    owner.mNextWriteAt = mNow + Millis(250);
    const std::int64_t check = owner.mGrants.mVersion;
    owner.mBudget =
      NoteGrantSent(owner.mGrants, owner.mContext, decision, mNow);
    const GrantsRow row = *decision.mWrite;
    // 0: as usual; 1: the answer is lost; 2: applied late; 3: lost.
    const std::uint32_t fate = mDisturbed && Below(3) == 0 ? 1 + Below(3) : 0;
    const auto answer = [this, aOwner, row, sentAt = mNow](
                          GrantWriteResult aResult, std::int64_t aVersion) {
      Deliver(aOwner, [this, aOwner, row, aResult, aVersion, sentAt] {
        HandleGrantWritten(aOwner->mGrants, row, aResult, aVersion, sentAt);
        Decide(aOwner);
      });
    };
    if (fate != 3) {
      After(fate == 2 ? Millis(Below(12000)) : Millis(Below(100)),
            [this, check, row, fate, answer] {
              const bool applies = check == mRowVersion;
              if (applies) {
                mRow = row;
                mRowVersion = ++mStoreVersion;
              }
              if (fate == 0) {
                answer(applies ? GrantWriteResult::Stored
                               : GrantWriteResult::NotApplied,
                       mRowVersion);
              }
            });
    }
    if (fate != 0) {
      After(Millis(1500), [answer] { answer(GrantWriteResult::Unknown, 0); });
    }
  }

  void Read(const std::shared_ptr<ModelOwner>& aOwner)
  {
    aOwner->mReads = true;
    const MonotonicTime sentAt = mNow;
    const bool lost = mDisturbed && Below(6) == 0;
    After(Millis(Below(50)), [this, aOwner, sentAt, lost] {
      const std::optional<GrantsRow> row = mRow ? mRow : GrantsRow{};
      After(Millis(lost ? 1500 : Below(50)),
            [this,
             aOwner,
             sentAt,
             lost,
             row,
             version = mRowVersion,
             seen = mStoreVersion] {
              Deliver(aOwner, [=, this] {
                aOwner->mReads = false;
                aOwner->mNextReadAt = mNow + Millis(500);
                if (!lost) {
                  HandleGrantsRead(aOwner->mGrants, row, version, seen, sentAt);
                  Decide(aOwner);
                }
              });
            });
    });
  }

  std::int64_t Running() const
  {
    std::int64_t running = 0;
    for (const ModelShard& shard : mShards) {
      for (const ModelRunner& runner : shard.mRunners) {
        for (const ModelRun& run : runner.mRuns) {
          running += run.mDemand;
        }
      }
    }
    return running;
  }

  std::int64_t UseOfRunner(const ModelOwner& aOwner, std::size_t aRunner) const
  {
    std::int64_t used = 0;
    for (const ModelRun& run :
         mShards[aOwner.mContext.mShard].mRunners[aRunner].mRuns) {
      used += run.mDemand;
    }
    for (const ModelOrder& order : aOwner.mOrders) {
      used += order.mRunner == aRunner ? order.mRun.mDemand : 0;
    }
    return used;
  }

  /// Starts waiting tasks within the budget.
  void Place(const std::shared_ptr<ModelOwner>& aOwner)
  {
    ModelOwner& owner = *aOwner;
    std::deque<std::int64_t>& waiting = mShards[owner.mContext.mShard].mWaiting;
    const AccountDemand demand = DemandOf(owner);
    std::int64_t used = demand.mUse.mMilliCores + demand.mAssumed.mMilliCores;
    for (std::size_t i = 0; i < waiting.size();) {
      const std::int64_t task = waiting[i];
      const std::size_t runner = Below(kRunnersPerShard);
      if (used + task > owner.mBudget.mMilliCores || !owner.mAnswered[runner] ||
          UseOfRunner(owner, runner) + task > kRunnerCapacity) {
        ++i;
        continue;
      }
      used += task;
      owner.mOrders.push_back(
        { runner,
          { task, mNow + Millis(200 + Below(mTaskMillis)) },
          mNow + Millis(mDisturbed && Below(4) == 0 ? Below(1000) : 10),
          owner.mContext.mEpoch,
          owner.mGrants.mAsOf });
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }

  /// Notes which caps the processes apply now.
  void NoteCaps()
  {
    for (const auto& owner : mOwners) {
      if (!owner->mEnded) {
        mAppliedCaps[owner->mContext.mCap.mMilliCores] = mNow;
      }
    }
  }

  /// @return the highest cap that a process has applied since a time
  std::int64_t HighestCapSince(MonotonicTime aTime) const
  {
    std::int64_t highest = 0;
    for (const auto& [cap, until] : mAppliedCaps) {
      highest = until >= aTime ? std::max(highest, cap) : highest;
    }
    return highest;
  }

  /// Carries out the orders that arrive, also of processes that are frozen.
  void CarryOutOrders()
  {
    for (const auto& owner : mOwners) {
      ModelShard& shard = mShards[owner->mContext.mShard];
      std::erase_if(owner->mOrders, [&](const ModelOrder& aOrder) {
        if (aOrder.mArrivesAt > mNow) {
          return false;
        }
        ModelRunner& runner = shard.mRunners[aOrder.mRunner];
        if (runner.mFencingToken > aOrder.mEpoch) {
          if (mDisturbed) {
            shard.mWaiting.push_back(aOrder.mRun.mDemand);
          }
          return true;
        }
        runner.mRuns.push_back(aOrder.mRun);
        CHECK_COMPARE(Running(), <=, HighestCapSince(aOrder.mRowAsOf));
        return true;
      });
    }
  }

  void Tick(const std::shared_ptr<ModelOwner>& aOwner)
  {
    ModelOwner& owner = *aOwner;
    ModelShard& shard = mShards[owner.mContext.mShard];
    for (std::size_t i = 0; i < kRunnersPerShard; ++i) {
      ModelRunner& runner = shard.mRunners[i];
      if (runner.mFencingToken > owner.mContext.mEpoch) {
        // A former owner loses its shard by a runner's answer, or later.
        owner.mEnded = owner.mEnded || Below(20) == 0;
      } else if (!owner.mAnswered[i] && Below(mDisturbed ? 20 : 2) == 0 &&
                 shard.mOwner == aOwner) {
        owner.mAnswered[i] = true;
        runner.mFencingToken = owner.mContext.mEpoch;
      }
    }
    if (!owner.mReads && mNow >= owner.mNextReadAt) {
      Read(aOwner);
    }
    Decide(aOwner);
    Place(aOwner);
  }

  void Disturb()
  {
    const std::uint32_t number =
      Below(static_cast<std::uint32_t>(mShards.size()));
    ModelShard& shard = mShards[number];
    ModelOwner& owner = *shard.mOwner;
    switch (Below(40)) {
      case 0:
        owner.mEnded = true;
        After(Millis(Below(4000)), [this, number] {
          if (mShards[number].mOwner->mEnded) {
            Claim(number);
          }
        });
        break;
      case 1:
        if (!owner.mFrozen && !owner.mEnded) {
          Freeze(shard.mOwner, number);
        }
        break;
      case 2:
        ChangeCap();
        break;
      case 3:
        shard.mWaiting.clear();
        break;
      case 4:
      case 5:
        if (shard.mWaiting.size() > 20) {
          break;
        }
        for (std::uint32_t i = 0; i < 10; ++i) {
          shard.mWaiting.push_back(1 + Below(3));
        }
        break;
      default:
        break;
    }
  }

  /// Freezes an owner; another one may take over before it wakes.
  void Freeze(const std::shared_ptr<ModelOwner>& aOwner, std::uint32_t aShard)
  {
    aOwner->mFrozen = true;
    const auto wakes = Millis(Below(6000));
    if (Below(3) > 0) {
      After(Millis(Below(4000)), [this, aOwner, aShard] {
        if (mShards[aShard].mOwner == aOwner) {
          Claim(aShard);
        }
      });
    }
    After(wakes, [aOwner] {
      aOwner->mFrozen = false;
      for (const auto& answer : std::exchange(aOwner->mHeldAnswers, {})) {
        Deliver(aOwner, answer);
      }
    });
  }

  void Advance(Millis aTime)
  {
    for (Millis passed(0); passed < aTime; passed += kStep) {
      mNow += kStep;
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const std::function<void()> event = mEvents.begin()->second;
        mEvents.erase(mEvents.begin());
        event();
      }
      for (ModelShard& shard : mShards) {
        for (ModelRunner& runner : shard.mRunners) {
          std::erase_if(runner.mRuns, [&](const ModelRun& aRun) {
            return aRun.mEndsAt <= mNow;
          });
        }
      }
      if (mDisturbed) {
        Disturb();
      } else {
        mShards[mBusyShard].mWaiting.resize(30, 1);
      }
      NoteCaps();
      CarryOutOrders();
      for (const auto& owner : std::vector(mOwners)) {
        if (!owner->mFrozen && !owner->mEnded) {
          Tick(owner);
        }
      }
      std::erase_if(mOwners, [](const auto& aOwner) {
        return aOwner->mEnded && aOwner->mOrders.empty();
      });
    }
  }

  /// Ends the disturbances; one shard has all demand from now on.
  void Calm(std::uint32_t aShard)
  {
    mDisturbed = false;
    for (std::uint32_t i = 0; i < mShards.size(); ++i) {
      for (const auto& owner : mOwners) {
        owner->mEnded = owner->mEnded || owner->mFrozen;
      }
      if (mShards[i].mOwner->mEnded) {
        Claim(i);
      }
      mShards[i].mWaiting.clear();
    }
    const auto latest = static_cast<std::int64_t>(mCaps.size()) - 1;
    for (const auto& owner : mOwners) {
      Configure(owner, latest);
    }
    mTaskMillis = 500;
    mBusyShard = aShard;
  }
};

} // namespace

/// The second owner of shard 0, which has a grant of 10, and a cap of 20.
TEST_GROUP(AccountGrants)
{
  static constexpr std::int64_t kCap = 20;
  GrantContext mContext{ 0, 2, { kCap, 0, 0 } };
  AccountGrants mGrants;
  MonotonicTime mNow{ Seconds(1000) };
  GrantsRow mRow{ { { 0, { 10, 0, 0 } } }, {}, { { 0, 1 } } };

  GrantDecision Decide(std::int64_t aUse, std::uint64_t aWaiting = 0)
  {
    return DecideGrant(
      mGrants,
      mContext,
      { { aUse, 0, 0 }, {}, {}, { { { 1, 0, 0 }, aWaiting, false } } },
      mNow);
  }

  void Read(std::int64_t aVersion)
  {
    HandleGrantsRead(mGrants, mRow, aVersion, aVersion, mNow);
  }
};

// Guards against starts above the cap, and against budget that stays unused in
// shards without demand, whatever is lost, late, killed, frozen or changed.
TEST(AccountGrants, HoldTheCapUnderRandomSchedules)
{
  constexpr std::uint32_t kSchedules = 2000;
  for (std::uint32_t seed = 0; seed < kSchedules; ++seed) {
    Model model(seed, 2 + seed % 3);
    model.Advance(Seconds(15));
    const std::uint32_t shard = seed % 2;
    model.Calm(shard);
    // Late writes may still arrive for 12 s, and tasks end within 3 s.
    model.Advance(Seconds(10));
    const std::int64_t cap = model.mCaps.back();
    std::int64_t most = 0;
    for (int i = 0; i < 20; ++i) {
      model.Advance(kStep);
      const ModelOwner& owner = *model.mShards[shard].mOwner;
      most = std::max(most, model.DemandOf(owner).mUse.mMilliCores);
    }
    if (most != cap) {
      FAIL(("seed " + std::to_string(seed) + ": " + std::to_string(most) +
            " of " + std::to_string(cap))
             .c_str());
    }
  }
}

// Guards against a grant that is used while a late write of the former owner
// may still lower it.
TEST(AccountGrants, AreUsedOnceTheNewOwnerHasWritten)
{
  Read(5);
  const GrantDecision decision = Decide(8);
  LONGS_EQUAL(0, decision.mBudget.mMilliCores);
  CHECK_TRUE(decision.mWrite.has_value());
  LONGS_EQUAL(2, decision.mWrite->mEpochs.at(0));
  NoteGrantSent(mGrants, mContext, decision, mNow);
  HandleGrantWritten(
    mGrants, *decision.mWrite, GrantWriteResult::Stored, 6, mNow);
  LONGS_EQUAL(10, Decide(8).mBudget.mMilliCores);
  // A read that was answered before the write.
  mRow.mGrants[0].mMilliCores = 15;
  Read(5);
  LONGS_EQUAL(10, Decide(8).mBudget.mMilliCores);
}

// Guards against a former owner that reads the row of a later one, and against
// a row that can't be understood.
TEST(AccountGrants, AreNotUsedByAFormerOwnerNorFromAnUnreadableRow)
{
  mRow.mEpochs[0] = 3;
  Read(5);
  LONGS_EQUAL(0, Decide(0, 5).mBudget.mMilliCores);
  CHECK_FALSE(Decide(0, 5).mWrite.has_value());
  HandleGrantsRead(mGrants, {}, 6, 6, mNow);
  LONGS_EQUAL(0, Decide(0, 5).mBudget.mMilliCores);
  CHECK_FALSE(Decide(0, 5).mWrite.has_value());
}

// Guards against starts by a row that is older than a lowered cap.
TEST(AccountGrants, AwaitAReadAfterTheCapWasLowered)
{
  mRow.mEpochs[0] = 2;
  Read(5);
  LONGS_EQUAL(10, Decide(8).mBudget.mMilliCores);
  mNow += Seconds(1);
  mContext.mCap.mMilliCores = 15;
  LONGS_EQUAL(0, Decide(8).mBudget.mMilliCores);
  Read(5);
  LONGS_EQUAL(10, Decide(8).mBudget.mMilliCores);
}

// Guards against starts elsewhere beside tasks that were started before the
// account had a cap.
TEST(AccountGrants, StateTheUseOfAnAccountThatHadNoCap)
{
  mRow = { { { 1, { 5, 0, 0 } } }, {}, { { 1, 1 } } };
  Read(5);
  const GrantDecision decision = Decide(18, 1);
  LONGS_EQUAL(18, GrantOf(*decision.mWrite, 0).mMilliCores);
  mRow = *decision.mWrite;
  mContext = { 1, 1, { kCap, 0, 0 } };
  Read(6);
  // The other owner starts nothing, and returns what it does not use.
  LONGS_EQUAL(0, Decide(2, 3).mBudget.mMilliCores);
  LONGS_EQUAL(2, GrantOf(*Decide(2, 3).mWrite, 1).mMilliCores);
}

// Guards against budget that waits in a shard without room for its tasks.
TEST(AccountGrants, GoToTheShardWithRoom)
{
  mRow.mEpochs[0] = 2;
  mRow.mWanted[1] = { kCap, 0, 0 };
  Read(5);
  const AccountDemand demand{
    { 4, 0, 0 }, {}, {}, { { { 1, 0, 0 }, 30, true } }
  };
  const GrantDecision decision = DecideGrant(mGrants, mContext, demand, mNow);
  LONGS_EQUAL(4, GrantOf(*decision.mWrite, 0).mMilliCores);
  CHECK_FALSE(decision.mWrite->mWanted.contains(0));
}
