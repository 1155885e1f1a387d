#include <thread>

#include <LibConfig/ConfigFollower.h>
#include <Support/FakeTable.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr Millis kPollInterval{ 2 };
/// An age that the configuration does not reach during a test.
constexpr Millis kLongMaxAge{ 60000 };

/// @return the value of a row with the document of the service "desk"
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

/// @param aState "in" or "out"
/// @return the value of a row with a data centre
std::string
DataCentreRow(const char* aState)
{
  return std::string(R"({"region": "r", "state": ")") + aState +
         R"(", "who": "w", "why": "y"})";
}

/// Waits until the condition holds, for at least 10 s, which is far longer than
/// it can take. A test whose condition never holds fails then, and does not
/// hang.
/// @return whether the condition held
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

/// Waits until the follower has read this revision.
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

// Guards against a follower that never reads the configuration, and against an
// accepted change that never reaches a running process.
TEST(ConfigFollower, AppliesNewRevisions)
{
  const ConfigFollower follower(mTable.Port(), kPollInterval);
  CHECK_TRUE(ReachesRevision(follower, 1));
  mTable.Put("doc/desk", DocumentRow(2, 4));
  mTable.Put("config/revision", "2");
  CHECK_TRUE(ReachesRevision(follower, 2));
  const ServiceDocument& desk = follower.Current()->mServices.at("desk");
  LONGS_EQUAL(4, desk.mSlotsPerRunner);
  LONGS_EQUAL(2, desk.mVersion);
}

// Guards against an outdated answer of the table service that reverts an
// accepted change, or that counts as confirmation of the current state.
TEST(ConfigFollower, NeverAppliesLowerRevision)
{
  mTable.Put("config/revision", "7");
  const ConfigFollower follower(mTable.Port(), kPollInterval);
  CHECK_TRUE(ReachesRevision(follower, 7));
  mTable.Put("dc/dc-1", DataCentreRow("out"));
  mTable.Put("config/revision", "6");
  // The age grows although every read is answered, because the answers hold a
  // lower revision.
  CHECK_TRUE(Eventually([&] { return follower.Age() > Millis(50); }));
  LONGS_EQUAL(7, follower.Current()->mRevision);
  mTable.Put("config/revision", "8");
  CHECK_TRUE(ReachesRevision(follower, 8));
  CHECK_FALSE(follower.ConfirmedInService("dc-1", kLongMaxAge));
}

// Guards against three faults during an outage of the table service: an old
// confirmation that a data centre is in service still counts; the follower
// drops its configuration; it does not recover afterwards.
TEST(ConfigFollower, KeepsConfigurationButConfirmsNothingDuringOutage)
{
  const ConfigFollower follower(mTable.Port(), kPollInterval);
  CHECK_TRUE(ReachesRevision(follower, 1));
  CHECK_TRUE(follower.ConfirmedInService("dc-1", kLongMaxAge));
  mTable.mFaults.SetOutage(true);
  CHECK_TRUE(Eventually([&] { return follower.Age() > Millis(50); }));
  CHECK_FALSE(follower.ConfirmedInService("dc-1", Millis(50)));
  LONGS_EQUAL(1, follower.Current()->mRevision);
  mTable.Put("dc/dc-1", DataCentreRow("out"));
  mTable.Put("config/revision", "2");
  mTable.mFaults.SetOutage(false);
  CHECK_TRUE(ReachesRevision(follower, 2));
  CHECK_FALSE(follower.ConfirmedInService("dc-1", kLongMaxAge));
}

// Guards against a process that counts as up to date before it has read
// anything.
TEST(ConfigFollower, ConfirmsNothingBeforeTheFirstRead)
{
  mTable.mFaults.SetOutage(true);
  const ConfigFollower follower(mTable.Port(), kPollInterval);
  CHECK_FALSE(follower.ConfirmedInService("dc-1", kLongMaxAge));
  CHECK_FALSE(follower.Age().has_value());
  CHECK_TRUE(follower.Current() == nullptr);
}

// Guards against one damaged row that removes its service, keeps a data centre
// in service, or stops updates of all other rows.
TEST(ConfigFollower, KeepsPreviousDocumentOfDamagedRow)
{
  const ConfigFollower follower(mTable.Port(), kPollInterval);
  CHECK_TRUE(ReachesRevision(follower, 1));
  mTable.Put("doc/desk", "{");
  mTable.Put("dc/dc-1", "{");
  mTable.Put("dc/dc-2", DataCentreRow("in"));
  mTable.Put("config/revision", "2");
  CHECK_TRUE(ReachesRevision(follower, 2));
  LONGS_EQUAL(8, follower.Current()->mServices.at("desk").mSlotsPerRunner);
  CHECK_FALSE(follower.ConfirmedInService("dc-1", kLongMaxAge));
  CHECK_TRUE(follower.ConfirmedInService("dc-2", kLongMaxAge));
}

// Guards against a process that begins with an older configuration after a
// restart.
TEST(ConfigFollower, RestartReadsNewestRevision)
{
  mTable.Put("config/revision", "41");
  {
    const ConfigFollower first(mTable.Port(), kPollInterval);
    CHECK_TRUE(ReachesRevision(first, 41));
  }
  mTable.Put("doc/desk", DocumentRow(2, 6));
  mTable.Put("config/revision", "42");
  const ConfigFollower second(mTable.Port(), kPollInterval);
  CHECK_TRUE(Eventually([&] { return second.Current() != nullptr; }));
  LONGS_EQUAL(42, second.Current()->mRevision);
  LONGS_EQUAL(6, second.Current()->mServices.at("desk").mSlotsPerRunner);
}
