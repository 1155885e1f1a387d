#include <LibDocument/DaemonSettings.h>
#include <LibDocument/JobDocument.h>
#include <LibDocument/PlacesDocument.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

TEST_GROUP(OtherDocuments){};

// Guards against a parser that drops the class, resources, expected run time or
// allowed data centres of a job.
TEST(OtherDocuments, ReadsJob)
{
  const auto parsed = ParseJobDocument("j.jsonc", R"({
  "job": "juice-1", "team": "lab", "class": "urgent",
  "size": { "cores": 4, "memoryMb": 8192, "accelerators": 1 },
  "expectedSeconds": 600, "dataCentres": ["dc-1"]
})");
  CHECK_TRUE(Succeeded(parsed));
  const JobDocument& job = ValueOf(parsed);
  CHECK_TRUE(job.mClass == JobClass::Urgent);
  LONGS_EQUAL(600, job.mExpectedRunTime.count());
  LONGS_EQUAL(1, job.mSize.mAccelerators);
  STRCMP_EQUAL("dc-1", job.mDataCentres[0].c_str());
}

// Guards against a job that needs no cores and no memory, which would fit on a
// full worker.
TEST(OtherDocuments, RefusesJobWithoutSize)
{
  const auto parsed = ParseJobDocument("j.jsonc", R"({
  "job": "j", "team": "t", "expectedSeconds": 0,
  "size": { "cores": 0, "memoryMb": 0 }
})");
  STRCMP_EQUAL("j.jsonc:3:22: field size.cores: must be a number from 0.01 to "
               "1024, is 0\n"
               "j.jsonc:3:37: field size.memoryMb: must be an integer from 1 "
               "to 16777216, is 0\n"
               "j.jsonc:2:47: field expectedSeconds: must be an integer from 1 "
               "to 2592000, is 0",
               ErrorOf(parsed).mMessage.c_str());
}

// Guards against lease settings with which the loss of one renewal ends a
// session, and against a host name as the address to listen on.
TEST(OtherDocuments, RefusesRenewIntervalAboveHalfTheTerm)
{
  const auto parsed = ParseDaemonSettings("g.jsonc", R"({
  "member": "gateway-1", "dataCentre": "dc-1", "region": "r",
  "listen": "localhost:1",
  "platform": { "table": "127.0.0.1:1", "objects": "127.0.0.1:1",
                "hosts": "127.0.0.1:1" },
  "lease": { "termMs": 3000, "renewIntervalMs": 2000 }
})");
  STRCMP_EQUAL("g.jsonc:3:13: field listen: must be an address \"IP:PORT\" "
               "with a port from 1 to 65535, is \"localhost:1\"\n"
               "g.jsonc:6:49: field lease.renewIntervalMs: must be at most "
               "half of termMs (3000), is 2000",
               ErrorOf(parsed).mMessage.c_str());
}

// Guards against defaults of process settings that differ from the documented
// ones.
TEST(OtherDocuments, ReadsProcessSettingsAndDefaults)
{
  const auto parsed = ParseDaemonSettings("g.jsonc", R"({
  "member": "gateway-1", "dataCentre": "dc-1", "region": "r",
  "listen": "127.0.0.1:8100",
  "platform": { "table": "127.0.0.1:1", "objects": "127.0.0.1:2",
                "hosts": "127.0.0.1:3" }
})");
  CHECK_TRUE(Succeeded(parsed));
  const DaemonSettings& settings = ValueOf(parsed);
  LONGS_EQUAL(8100, settings.mSelf.mAddress.mPort);
  LONGS_EQUAL(1000, settings.mPlatform.mTimeout.count());
  LONGS_EQUAL(3000, settings.mLease.mTerm.count());
  LONGS_EQUAL(660000, settings.mLease.mForeignTakeoverWait.count());
  STRCMP_EQUAL("learned", settings.mPlacementPolicy.c_str());
}

// Guards against a data centre that is listed twice, in two regions.
TEST(OtherDocuments, RefusesDuplicateDataCentre)
{
  const auto parsed = ParsePlacesDocument("p.jsonc", R"({ "dataCentres": [
  { "name": "dc-1", "region": "a" }, { "name": "dc-1", "region": "b" }
] })");
  STRCMP_EQUAL("p.jsonc:2:48: field dataCentres[1].name: is the name of an "
               "earlier data centre too, \"dc-1\"",
               ErrorOf(parsed).mMessage.c_str());
}
