#include <LibNode/JobRows.h>
#include <LibNode/StoreClock.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const MonotonicTime kRequestedAt{ Seconds(100) };
const MonotonicTime kReceivedAt{ Seconds(101) };
constexpr std::int64_t kReadingMs = 50000;

StoreClock
ClockWithReading()
{
  StoreClock clock;
  RecordReading(clock, kReadingMs, kRequestedAt, kReceivedAt);
  return clock;
}

dispatch::InheritedRunner
RecordedRunner()
{
  dispatch::InheritedRunner runner;
  runner.mSpec.mId = "r0";
  runner.mSpec.mIncarnation = 7;
  runner.mPossibleRuns.emplace();
  runner.mPossibleRuns->push_back({ { "0123456789abcdef", 0, 1, 2 }, 5 });
  runner.mLeasesExpireAt = kReceivedAt + Seconds(4);
  return runner;
}

} // namespace

TEST_GROUP(StoreClock){};

// Guards against leases that are taken as ended too early, because the reading
// is of any time between the request and its answer.
TEST(StoreClock, ErrsTowardsLaterTimes)
{
  const StoreClock clock = ClockWithReading();
  CHECK_COMPARE(*LatestStoreTime(clock, kReceivedAt), >=, kReadingMs + 1000);
  CHECK_TRUE(*TimeReached(clock, kReadingMs + 1000) >=
             kReceivedAt + Seconds(1));
  // The store's clock may be 1% slower or faster than this host's.
  CHECK_COMPARE(*LatestStoreTime(clock, kRequestedAt + Seconds(100)),
                >=,
                kReadingMs + 101000);
  CHECK_TRUE(*TimeReached(clock, kReadingMs + 100000) >=
             kReceivedAt + Seconds(101));
  // A time that one node states and another reads never gets earlier.
  const MonotonicTime end = kReceivedAt + Seconds(6);
  CHECK_TRUE(*TimeReached(clock, *LatestStoreTime(clock, end)) >= end);
}

// Guards against times on a clock that was never read.
TEST(StoreClock, HasNoTimeWithoutAReading)
{
  StoreClock clock;
  CHECK_FALSE(LatestStoreTime(clock, kReceivedAt).has_value());
  CHECK_FALSE(TimeReached(clock, kReadingMs).has_value());
  RecordReading(clock, 0, kRequestedAt, kReceivedAt);
  CHECK_FALSE(TimeReached(clock, kReadingMs).has_value());
}

// Guards against a later owner that waits for the leases of a recorded runner
// anew, or not long enough.
TEST(StoreClock, RecordsKeepTheEndOfTheLeases)
{
  const StoreClock clock = ClockWithReading();
  const dispatch::InheritedRunner written = RecordedRunner();
  const auto read = ParseRunners(FormatRunners({ &written, 1 }, clock), clock);
  LONGS_EQUAL(1, read.size());
  CHECK_TRUE(read[0].mLeasesExpireAt.has_value());
  CHECK_TRUE(*read[0].mLeasesExpireAt >= *written.mLeasesExpireAt);
  CHECK_TRUE(*read[0].mLeasesExpireAt <= *written.mLeasesExpireAt + Seconds(2));
  LONGS_EQUAL(7, read[0].mSpec.mIncarnation);
  LONGS_EQUAL(5, read[0].mPossibleRuns->at(0).mRun);
}

// Guards against a row of an earlier version, without the end of the leases,
// or with one of another type, that is read as if the leases were over.
TEST(StoreClock, ReadsRecordsWithoutTheEndOfTheLeases)
{
  const StoreClock clock = ClockWithReading();
  const char* const rows[] = {
    R"({"r0":["a","s","z","k",7,["0123456789abcdef.0.1.2",5]]})",
    R"({"r0":["a","s","z","k",7,["0123456789abcdef.0.1.2",5],"soon"]})",
    R"({"r0":["a","s","z","k",7,["0123456789abcdef.0.1.2",5],null]})"
  };
  for (const char* row : rows) {
    const auto read = ParseRunners(row, clock);
    LONGS_EQUAL(1, read.size());
    LONGS_EQUAL(1, read[0].mPossibleRuns->size());
    CHECK_FALSE(read[0].mLeasesExpireAt.has_value());
  }
  // Without a reading of the clock, the end is not known either.
  const dispatch::InheritedRunner written = RecordedRunner();
  const auto read =
    ParseRunners(FormatRunners({ &written, 1 }, clock), StoreClock{});
  CHECK_FALSE(read[0].mLeasesExpireAt.has_value());
}
