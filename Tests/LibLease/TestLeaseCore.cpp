#include <string>
#include <vector>

#include <LibLease/LeaseTable.h>
#include <LibLeaseCore/LeaseCore.h>
#include <LibLeaseCore/LeaseWrites.h>
#include <LibLeaseCore/Rendezvous.h>
#include <StandIns/Platform/MemoryPorts.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr MonotonicTime kStart{ Seconds(1000) };
constexpr LeaseTimes kTimes;

LeaseMember
MakeMember(const std::string& aName, const std::string& aDataCentre = "dc-1")
{
  return { aName, aName + ".1", "gateway", aDataCentre, "r", aName, 1 };
}

/// Carries out all actions that are due, without any delay.
void
RunDueActions(LeaseState& aState, MemoryTable& aTable, MonotonicTime aNow)
{
  const TablePort port = MakeMemoryTablePort(aTable);
  while (const auto action = NextAction(aState, aNow)) {
    if (const auto* write = std::get_if<WriteLeaseRows>(&*action)) {
      ReportWrite(aState, *write, ExecuteWrite(port, *write), aNow, aNow);
    } else if (const auto* read = std::get_if<ReadLeaseRows>(&*action)) {
      ReportRead(aState, *read, ValueOf(ExecuteRead(port, *read)), aNow);
    }
  }
}

void
RunDueActionsFor(LeaseState& aState,
                 MemoryTable& aTable,
                 MonotonicTime aFrom,
                 Millis aDuration)
{
  for (Millis at(0); at <= aDuration; at += Millis(100)) {
    RunDueActions(aState, aTable, aFrom + at);
  }
}

} // namespace

TEST_GROUP(LeaseCore)
{
  MemoryTable mTable;
  LeaseState mState = MakeLeaseState(kTimes, MakeMember("a"), kStart);

  void setup() override
  {
    mState.mShardPlaces = { { "s", "dc-1", "r" } };
    RunDueActionsFor(mState, mTable, kStart, Millis(3000));
    CHECK_TRUE(FindOwned(mState, "s", kStart + Millis(3000)) != nullptr);
  }
};

// Guards against a shard row that becomes valid again because its owner, whose
// session was ended, has started another session.
TEST(LeaseCore, ShardOfEndedSessionIsTakenWithNewEpoch)
{
  mTable.Transact({ {}, { { "session/a", std::nullopt } } });
  RunDueActionsFor(mState, mTable, kStart + Millis(3100), Millis(2000));
  const HeldShard* held = FindOwned(mState, "s", kStart + Millis(5100));
  CHECK_TRUE(held != nullptr);
  CHECK_EQUAL(2U, held->mEpoch);
  CHECK_TRUE(held->mAcquisition == ShardAcquisition::Takeover);
}

// Guards against a lease that counts from the answer instead of from the moment
// at which the renewal was sent.
TEST(LeaseCore, LeaseCountsFromTheSendingOfTheRenewal)
{
  const MonotonicTime sent = kStart + Millis(5000);
  const auto action = NextAction(mState, sent);
  const auto* renewal = std::get_if<WriteLeaseRows>(&*action);
  CHECK_TRUE(renewal != nullptr);
  const LeaseWriteResult result =
    ExecuteWrite(MakeMemoryTablePort(mTable), *renewal);
  ReportWrite(mState, *renewal, result, sent, sent + Millis(800));
  CHECK_TRUE(SessionHolds(mState, sent + Millis(2699)));
  CHECK_FALSE(SessionHolds(mState, sent + Millis(2700)));
}

// Guards against renewals that overload the table service when there are many
// processes. The term must grow with the interval.
TEST(LeaseCore, IntervalAndTermWidenWithWriters)
{
  for (int i = 0; i < 300; ++i) {
    mState.mSessions["m" + std::to_string(i)] = {};
  }
  CHECK_TRUE(RenewInterval(mState) >= Millis(3000));
  const WriteLeaseRows renewal = MakeRenewal(mState, kStart + Millis(4000));
  const auto& record = std::get<SessionRecord>(renewal.mWrites.front().mValue);
  CHECK_TRUE(record.mTerm >= 3 * RenewInterval(mState));
}

TEST_GROUP(Rendezvous)
{
  /// Candidates m0 to m7, half in each of two data centres.
  std::vector<LeaseMember> mMembers;
  std::vector<const LeaseMember*> mCandidates;

  void setup() override
  {
    for (int i = 0; i < 8; ++i) {
      mMembers.push_back(
        MakeMember("m" + std::to_string(i), i % 2 == 0 ? "dc-1" : "dc-2"));
    }
    for (const LeaseMember& member : mMembers) {
      mCandidates.push_back(&member);
    }
  }
};

// Guards against shards that move although their owner is still live.
TEST(Rendezvous, LossOfMemberMovesOnlyItsShards)
{
  const std::vector<const LeaseMember*> without(mCandidates.begin() + 1,
                                                mCandidates.end());
  int moved = 0;
  for (int i = 0; i < 200; ++i) {
    const ShardPlace place{ "s" + std::to_string(i), "dc-1", "r" };
    const LeaseMember* before = ChooseOwner(place, mCandidates);
    const LeaseMember* after = ChooseOwner(place, without);
    STRCMP_EQUAL("dc-1", before->mDataCentre.c_str());
    if (before == mCandidates.front()) {
      ++moved;
    } else {
      CHECK_TRUE(before == after);
    }
  }
  CHECK_TRUE(moved > 0);
}

// Guards against a successor that is lost together with the owner's data
// centre.
TEST(Rendezvous, SuccessorIsInOtherDataCentreOfRegion)
{
  LeaseMember far = MakeMember("far", "dc-9");
  far.mRegion = "r2";
  mCandidates.push_back(&far);
  const LeaseMember self = MakeMember("self");
  STRCMP_EQUAL("dc-2", ChooseSuccessor(self, mCandidates)->mDataCentre.c_str());
}
