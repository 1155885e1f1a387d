#include <thread>

#include <LibConfig/ConfigFollower.h>
#include <Support/FakeTable.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr Millis kPoll{ 2 };
constexpr Millis kLong{ 60000 };

std::string
DocumentRow(int aVersion, int aSlots)
{
  return R"({"version": )" + std::to_string(aVersion) +
         R"(, "text": "{\"service\": \"desk\", \"team\": \"t\",)"
         R"( \"slotsPerRunner\": )" +
         std::to_string(aSlots) +
         R"(, \"routes\": [{\"prefix\": \"/\", \"idempotent\": true}],)"
         R"( \"quota\": {\"cores\": 1, \"memoryMb\": 1}}"})";
}

std::string
DataCentreRow(const char* aState)
{
  return std::string(R"({"region": "r", "state": ")") + aState +
         R"(", "who": "w", "why": "y"})";
}

/// Waits until the condition holds; gives up after far longer than it can
/// take, so that a failure ends the test.
bool
Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 10000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return false;
}

bool
ReachesRevision(const ConfigFollower& aFollower, std::uint64_t aRevision)
{
  return Eventually([&] {
    const auto current = aFollower.Current();
    return current && current->mRevision == aRevision;
  });
}

} // namespace

TEST_GROUP(ConfigFollower)
{
  FakeTable mTable;

  void setup() override
  {
    mTable.Put("doc/desk", DocumentRow(1, 8));
    mTable.Put("dc/dc-1", DataCentreRow("in"));
    mTable.Put("config/revision", "1");
  }
};

// Guards against a process that serves before it has read the configuration,
// and against an accepted change that never arrives.
TEST(ConfigFollower, FollowsRisingRevisions)
{
  const ConfigFollower follower(mTable.Port(), kPoll);
  CHECK_TRUE(ReachesRevision(follower, 1));
  mTable.Put("doc/desk", DocumentRow(2, 4));
  mTable.Put("config/revision", "2");
  CHECK_TRUE(ReachesRevision(follower, 2));
  const ServiceDocument& desk = follower.Current()->mServices.at("desk");
  LONGS_EQUAL(4, desk.mSlotsPerRunner);
  LONGS_EQUAL(2, desk.mVersion);
}

// Guards against a slow reader's old answer that reverts an accepted change,
// or that counts as a proof of the present state.
TEST(ConfigFollower, NeverAppliesALowerRevision)
{
  mTable.Put("config/revision", "7");
  const ConfigFollower follower(mTable.Port(), kPoll);
  CHECK_TRUE(ReachesRevision(follower, 7));
  mTable.Put("dc/dc-1", DataCentreRow("out"));
  mTable.Put("config/revision", "6");
  // The age grows although every read is answered.
  CHECK_TRUE(Eventually([&] { return follower.Age() > Millis(50); }));
  LONGS_EQUAL(7, follower.Current()->mRevision);
  mTable.Put("config/revision", "8");
  CHECK_TRUE(ReachesRevision(follower, 8));
  CHECK_FALSE(follower.ProvenInService("dc-1", kLong));
}

// Guards against an outage that leaves a stale proof in force, and against a
// follower that drops its configuration or does not recover.
TEST(ConfigFollower, KeepsConfigurationThroughOutageWithoutProof)
{
  const ConfigFollower follower(mTable.Port(), kPoll);
  CHECK_TRUE(ReachesRevision(follower, 1));
  CHECK_TRUE(follower.ProvenInService("dc-1", kLong));
  mTable.mFaults.SetOutage(true);
  CHECK_TRUE(Eventually([&] { return follower.Age() > Millis(50); }));
  CHECK_FALSE(follower.ProvenInService("dc-1", Millis(50)));
  LONGS_EQUAL(1, follower.Current()->mRevision);
  mTable.Put("dc/dc-1", DataCentreRow("out"));
  mTable.Put("config/revision", "2");
  mTable.mFaults.SetOutage(false);
  CHECK_TRUE(ReachesRevision(follower, 2));
  CHECK_FALSE(follower.ProvenInService("dc-1", kLong));
}

// Guards against a process that has read nothing and counts as up to date.
TEST(ConfigFollower, ProvesNothingBeforeTheFirstRead)
{
  mTable.mFaults.SetOutage(true);
  const ConfigFollower follower(mTable.Port(), kPoll);
  CHECK_FALSE(follower.ProvenInService("dc-1", kLong));
  CHECK_FALSE(follower.Age().has_value());
  CHECK_TRUE(follower.Current() == nullptr);
}

// Guards against one damaged row that removes a service or stops all others.
TEST(ConfigFollower, KeepsFormerDocumentOfADamagedRow)
{
  const ConfigFollower follower(mTable.Port(), kPoll);
  CHECK_TRUE(ReachesRevision(follower, 1));
  mTable.Put("doc/desk", "{");
  mTable.Put("dc/dc-1", "{");
  mTable.Put("dc/dc-2", DataCentreRow("in"));
  mTable.Put("config/revision", "2");
  CHECK_TRUE(ReachesRevision(follower, 2));
  LONGS_EQUAL(8, follower.Current()->mServices.at("desk").mSlotsPerRunner);
  CHECK_FALSE(follower.ProvenInService("dc-1", kLong));
  CHECK_TRUE(follower.ProvenInService("dc-2", kLong));
}

// Guards against a restart that begins with an older configuration.
TEST(ConfigFollower, RestartReadsTheNewestRevision)
{
  mTable.Put("config/revision", "41");
  {
    const ConfigFollower first(mTable.Port(), kPoll);
    CHECK_TRUE(ReachesRevision(first, 41));
  }
  mTable.Put("doc/desk", DocumentRow(2, 6));
  mTable.Put("config/revision", "42");
  const ConfigFollower second(mTable.Port(), kPoll);
  CHECK_TRUE(Eventually([&] { return second.Current() != nullptr; }));
  LONGS_EQUAL(42, second.Current()->mRevision);
  LONGS_EQUAL(6, second.Current()->mServices.at("desk").mSlotsPerRunner);
}
