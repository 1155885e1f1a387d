#include <atomic>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>

#include <LibLease/LeaseKeeper.h>
#include <StandIns/Platform/MemoryPorts.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// The times are short, so that the tests take seconds. No check depends on how
/// long a step takes, but only on the final result.
constexpr LeaseSettings kSettings{ .mTerm = Millis(600),
                                   .mRenewInterval = Millis(200),
                                   .mForeignTakeoverWait = Millis(60000) };

/// Longest time that a test waits for a condition that must become true.
constexpr Seconds kMaxWait{ 30 };

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const MonotonicTime end = std::chrono::steady_clock::now() + kMaxWait;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(5));
  }
  return true;
}

std::vector<ShardSpec>
Shards()
{
  std::vector<ShardSpec> shards;
  shards.reserve(16);
  for (int i = 0; i < 16; ++i) {
    shards.push_back({ "key/" + std::to_string(i), "dc-1", "r" });
  }
  return shards;
}

} // namespace

TEST_GROUP(LeaseKeeper)
{
  MemoryTable mTable;
  PlatformFaults mFaults;
  std::map<std::string, std::unique_ptr<LeaseKeeper>> mKeepers;

  /// Starts a keeper; promises reach the other keepers directly.
  void Start(const std::string& aName, const std::string& aDataCentre)
  {
    const auto port = static_cast<std::uint16_t>(20100 + mKeepers.size());
    Member self{ aName,       aName + "-a", "gateway",
                 aDataCentre, "r",          { "127.0.0.1", port } };
    auto promise = [this](const Endpoint&,
                          const Json::Value& aParameters,
                          Millis) -> Outcome<Json::Value> {
      const auto peer = mKeepers.find(aParameters["to"].asString());
      if (peer == mKeepers.end()) {
        return Error{ ErrorKind::Unavailable, "no such peer" };
      }
      return peer->second->HandlePromise(aParameters);
    };
    auto keeper = std::make_unique<LeaseKeeper>(
      kSettings, self, MakeMemoryTablePort(mTable, mFaults, aName), promise);
    keeper->SetShards(Shards());
    mKeepers[aName] = std::move(keeper);
  }

  int OwnedBy(const std::string& aName)
  {
    int owned = 0;
    for (const ShardSpec& shard : Shards()) {
      owned += mKeepers.at(aName)->Owns(shard.mId) ? 1 : 0;
    }
    return owned;
  }

  int TotalOwned()
  {
    int owned = 0;
    for (const auto& [name, keeper] : mKeepers) {
      owned += OwnedBy(name);
    }
    return owned;
  }

  bool AllOwned()
  {
    return WaitUntil([this] { return TotalOwned() == 16; });
  }
};

// Guards against shards without an owner when no process fails.
TEST(LeaseKeeper, AssignsAllShards)
{
  Start("a", "dc-1");
  Start("b", "dc-1");
  CHECK_TRUE(AllOwned());
  CHECK_TRUE(
    WaitUntil([this] { return OwnedBy("a") > 0 && OwnedBy("b") > 0; }));
  CHECK_TRUE(
    WaitUntil([this] { return mKeepers["a"]->SuccessorOfSelf().has_value(); }));
  STRCMP_EQUAL("b", mKeepers["a"]->SuccessorOfSelf()->mName.c_str());
  LONGS_EQUAL(2, mKeepers["a"]->Members("gateway").size());
}

// Guards against shards that stay with a process that died, and against a
// successor that takes over without the knowledge that it is the successor.
TEST(LeaseKeeper, SuccessorTakesOverAfterDeath)
{
  Start("a", "dc-1");
  Start("b", "dc-2");
  CHECK_TRUE(AllOwned());
  CHECK_TRUE(
    WaitUntil([this] { return mKeepers["a"]->SuccessorOfSelf().has_value(); }));
  CHECK_TRUE(WaitUntil([this] { return OwnedBy("a") == 16; }));
  mKeepers.erase("a");
  CHECK_TRUE(AllOwned());
  const auto ownership = mKeepers["b"]->Owns("key/0");
  CHECK_TRUE(ownership.has_value());
  CHECK_TRUE(ownership->mAcquisition == Acquisition::Successor);
  CHECK_TRUE(ownership->mEpoch > 1);
}

// Guards against an orderly stop after which the shards have no owner until a
// term has passed.
TEST(LeaseKeeper, LeaveHandsOverAllShards)
{
  Start("a", "dc-1");
  Start("b", "dc-2");
  CHECK_TRUE(WaitUntil([this] { return OwnedBy("a") == 16; }));
  CHECK_TRUE(mKeepers["a"]->Leave(kMaxWait));
  CHECK_FALSE(mKeepers["a"]->SessionValid());
  LONGS_EQUAL(0, OwnedBy("a"));
  CHECK_TRUE(AllOwned());
  CHECK_TRUE(mKeepers["b"]->Owns("key/0")->mAcquisition ==
             Acquisition::HandOver);
}

// Guards against a hand-over while work is in flight.
TEST(LeaseKeeper, LeaveWaitsUntilQuiescent)
{
  Start("a", "dc-1");
  Start("b", "dc-2");
  CHECK_TRUE(WaitUntil([this] { return OwnedBy("a") == 16; }));
  std::atomic<bool> quiescent{ false };
  std::atomic<bool> asked{ false };
  mKeepers["a"]->SetQuiescent([&](std::string_view) {
    asked = true;
    return quiescent.load();
  });
  bool complete = false;
  std::thread leaver([&] { complete = mKeepers["a"]->Leave(kMaxWait); });
  CHECK_TRUE(WaitUntil([&] { return asked.load(); }));
  LONGS_EQUAL(0, TotalOwned());
  quiescent = true;
  leaver.join();
  CHECK_TRUE(complete);
  CHECK_TRUE(AllOwned());
}

// Guards against an owner that continues without a lease when the store is
// unavailable and no successor gives a promise.
TEST(LeaseKeeper, OwnsNothingAfterLapseWithoutPromise)
{
  Start("a", "dc-1");
  CHECK_TRUE(AllOwned());
  mFaults.SetOutage(true);
  CHECK_TRUE(WaitUntil([this] { return TotalOwned() == 0; }));
  CHECK_FALSE(mKeepers["a"]->SessionValid());
  mFaults.SetOutage(false);
  CHECK_TRUE(AllOwned());
}

// Guards against an outage of the store that ends all ownership, although the
// successor promises not to end the session.
TEST(LeaseKeeper, KeepsShardsInOutageByPromises)
{
  Start("a", "dc-1");
  Start("b", "dc-2");
  CHECK_TRUE(WaitUntil([this] { return OwnedBy("a") == 16; }));
  CHECK_TRUE(
    WaitUntil([this] { return mKeepers["a"]->SuccessorOfSelf().has_value(); }));
  const auto before = mKeepers["a"]->Owns("key/0");
  mFaults.SetOutage(true);
  std::this_thread::sleep_for(kSettings.mTerm * 3);
  mFaults.SetOutage(false);
  CHECK_TRUE(AllOwned());
  CHECK_EQUAL(before->mEpoch, mKeepers["a"]->Owns("key/0")->mEpoch);
}
