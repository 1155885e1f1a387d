#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <LibBase/JsonReader.h>
#include <LibNode/JobRows.h>
#include <LibNode/RunnerRows.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

using dispatch::InheritedRunner;

const StoreKey kName{ "progress-0", "shard-0", {} };
const MonotonicTime kNow{ Seconds(100) };

StoreClock
Clock()
{
  StoreClock clock;
  RecordReading(clock, 1000000, kNow - Millis(2), kNow);
  return clock;
}

InheritedRunner
MakeRunner(std::size_t aNumber, std::size_t aRuns)
{
  InheritedRunner runner;
  runner.mSpec.mId = "runner-site-" + std::to_string(aNumber);
  runner.mSpec.mAddress = "10.20.30.40:20100";
  runner.mSpec.mService = "front-service";
  runner.mSpec.mDataCentre = "zone-b";
  runner.mSpec.mRack = "rack-17";
  runner.mSpec.mIncarnation = 1700000000000;
  runner.mLeasesExpireAt = kNow + Seconds(5);
  if (aRuns > 0) {
    runner.mPossibleRuns.emplace();
    for (std::uint32_t i = 0; i < aRuns; ++i) {
      runner.mPossibleRuns->push_back(
        { { "0123456789abcdef", 0, 0, i }, 1048577 + i });
    }
  }
  return runner;
}

/// @return what the runs of a record are, or "none"
std::string
RunsOf(const InheritedRunner& aRunner)
{
  return aRunner.mPossibleRuns ? WriteJson(RunsToJson(*aRunner.mPossibleRuns))
                               : "none";
}

/// Applies a plan.
/// @param aCheck is called with the rows after each step
template<typename Check>
void
Carry(RunnerRows& aRows,
      const RunnerListPlan& aPlan,
      const StoreLimits& aLimits,
      const Check& aCheck)
{
  for (const std::vector<RunnerRowChange>& step : aPlan.mSteps) {
    // The owner adds the commit sequence row.
    StoreTransaction transaction = MakeTransaction(step, kName);
    transaction.mChecks.push_back(
      { kName.mTable, kName.mPartition, "chain", 1 });
    transaction.mPuts.push_back({ kName.mTable,
                                  kName.mPartition,
                                  "chain",
                                  "front-site-b-2/1000/1000000",
                                  0,
                                  false });
    const auto violation = FindLimitViolation(transaction, aLimits);
    STRCMP_EQUAL("", violation ? FormatLimitViolation(*violation).c_str() : "");
    ApplyChanges(aRows, step);
    aCheck();
  }
}

/// Replaces the list in the rows.
/// @return the number of transactions
std::size_t
Replace(RunnerRows& aRows,
        const std::vector<InheritedRunner>& aRunners,
        std::int64_t aEpoch = 1)
{
  const RunnerListPlan plan =
    PlanRunnerList(aRows, aRunners, aEpoch, Clock(), kName, {});
  LONGS_EQUAL(0, plan.mEntriesLeftOut.size());
  LONGS_EQUAL(0, plan.mRecordsLeftOut);
  LONGS_EQUAL(0, plan.mLeaseEndsLeftOut);
  Carry(aRows, plan, {}, [] {});
  return plan.mSteps.size();
}

/// @return the rows as a later owner reads them
RunnerRows
ReadAgain(const RunnerRows& aRows)
{
  RunnerRows rows;
  for (const auto& [key, row] : aRows) {
    CHECK_TRUE(IsRunnerRow(key));
    rows.emplace(key, ParseRunnerRow(key, row.mText));
  }
  return rows;
}

} // namespace

TEST_GROUP(RunnerRows){};

// Guards against a list that is written in another format although it fits into
// one row, which earlier versions read.
TEST(RunnerRows, AShortListIsOneRow)
{
  RunnerRows rows;
  std::vector<InheritedRunner> runners;
  for (std::size_t i = 0; i < 100; ++i) {
    runners.push_back(MakeRunner(i, i % 2 * 5));
  }
  LONGS_EQUAL(1, Replace(rows, runners));
  LONGS_EQUAL(1, rows.size());
  STRCMP_EQUAL(FormatRunners(runners, Clock()).c_str(),
               rows.at("runners").mText.c_str());
}

// Guards against rows and transactions that the store rejects, at ten times the
// runners of a shard and with all of them recorded at once.
TEST(RunnerRows, TenTimesTheRunnersExceedNoLimit)
{
  constexpr std::size_t kCount = 5400;
  RunnerRows rows;
  std::vector<InheritedRunner> runners;
  for (std::size_t i = 0; i < kCount; ++i) {
    runners.push_back(MakeRunner(i, 0));
    runners.back().mLeasesExpireAt.reset();
  }
  Replace(rows, runners);
  CHECK_TRUE(rows.size() > 1);
  LONGS_EQUAL(0, Replace(rows, runners));
  for (std::size_t i = 0; i < kCount; ++i) {
    runners[i] = MakeRunner(i, 12);
  }
  Replace(rows, runners);
  LONGS_EQUAL(0, Replace(rows, runners));
  const std::vector<InheritedRunner> read =
    InheritedRunners(ReadAgain(rows), 1, Clock());
  LONGS_EQUAL(kCount, read.size());
  for (const InheritedRunner& runner : read) {
    LONGS_EQUAL(12, runner.mPossibleRuns ? runner.mPossibleRuns->size() : 0);
    CHECK_TRUE(runner.mLeasesExpireAt.has_value());
  }
  // One record less is one row less.
  runners[kCount - 1] = MakeRunner(kCount - 1, 0);
  runners[kCount - 1].mLeasesExpireAt.reset();
  const RunnerListPlan plan =
    PlanRunnerList(rows, runners, 1, Clock(), kName, {});
  LONGS_EQUAL(1, plan.mSteps.size());
  LONGS_EQUAL(1, plan.mSteps.front().size());
  // Few runners are one row again, and nothing else is left.
  runners.resize(50);
  Replace(rows, runners);
  LONGS_EQUAL(1, rows.size());
}

// Guards against a last list that states no ends of leases because there are
// too many runners, so that the next owner waits for the longest leases.
TEST(RunnerRows, TheLastListOfManyRunnersStatesTheEndsOfTheLeases)
{
  for (const std::size_t count : { 540, 600, 5400 }) {
    RunnerRows rows;
    std::vector<InheritedRunner> runners;
    for (std::size_t i = 0; i < count; ++i) {
      runners.push_back(MakeRunner(i, i % 4 == 0 ? 12 : 0));
    }
    Replace(rows, runners);
    const std::vector<InheritedRunner> read =
      InheritedRunners(ReadAgain(rows), 1, Clock());
    LONGS_EQUAL(count, read.size());
    for (const InheritedRunner& runner : read) {
      CHECK_TRUE(runner.mLeasesExpireAt.has_value());
      CHECK_TRUE(*runner.mLeasesExpireAt >= kNow + Seconds(5));
      CHECK_TRUE(*runner.mLeasesExpireAt < kNow + Seconds(6));
    }
  }
}

// Guards against a later owner that believes a record, or an end of leases, in
// a row of its own after an earlier version owned the shard, or of a former
// process of the runner.
TEST(RunnerRows, OutdatedRecordsAreNotBelieved)
{
  RunnerRows rows;
  std::vector<InheritedRunner> runners;
  for (std::size_t i = 0; i < 1000; ++i) {
    runners.push_back(MakeRunner(i, i % 2 * 12));
  }
  Replace(rows, runners, 7);
  // The owner in between has written the first row only, with other runners.
  std::vector<InheritedRunner> first(runners.begin(), runners.begin() + 100);
  first.push_back(MakeRunner(5000, 0));
  for (InheritedRunner& runner : first) {
    runner.mPossibleRuns.reset();
    runner.mLeasesExpireAt.reset();
  }
  first[3].mSpec.mIncarnation += 1;
  rows["runners"] = ParseRunnerRow("runners", FormatRunners(first, Clock()));
  for (const InheritedRunner& runner :
       InheritedRunners(ReadAgain(rows), 9, Clock())) {
    CHECK_FALSE(runner.mPossibleRuns.has_value());
    CHECK_FALSE(runner.mLeasesExpireAt.has_value());
  }
  const std::vector<InheritedRunner> read =
    InheritedRunners(ReadAgain(rows), 7, Clock());
  std::set<std::string> ids;
  for (const InheritedRunner& runner : read) {
    ids.insert(runner.mSpec.mId);
    if (runner.mSpec.mId == first[3].mSpec.mId) {
      CHECK_FALSE(runner.mPossibleRuns.has_value());
      LONGS_EQUAL(first[3].mSpec.mIncarnation, runner.mSpec.mIncarnation);
    }
  }
  LONGS_EQUAL(read.size(), ids.size());
  CHECK_TRUE(ids.contains(first.back().mSpec.mId));
  CHECK_TRUE(ids.contains(runners.back().mSpec.mId));
}

// Guards against a later owner, of this version or an earlier one, that misses
// a runner or reads a wrong record, because it reads the rows while the list is
// being replaced, in any number of transactions.
TEST(RunnerRows, EachStepOfAReplacementIsSafe)
{
  StoreLimits limits;
  limits.mRowBytes = 2000;
  limits.mEntries = 6;
  limits.mMessageBytes = 12000;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 random(seed);
    RunnerRows rows;
    std::map<std::string, InheritedRunner> before;
    for (std::int64_t round = 1; round <= 8; ++round) {
      std::map<std::string, InheritedRunner> after = before;
      const std::size_t count = random() % 3 == 0 ? 5 : 60;
      const std::uint64_t recorded = random() % 4;
      std::vector<InheritedRunner> list;
      for (std::size_t i = 0; i < 60; ++i) {
        InheritedRunner runner =
          MakeRunner(i, random() % 4 < recorded ? 1 + random() % 5 : 0);
        if (random() % 2 == 0) {
          runner.mLeasesExpireAt.reset();
        }
        const auto known = before.find(runner.mSpec.mId);
        if (known != before.end()) {
          runner.mSpec = known->second.mSpec;
        }
        if (random() % 8 == 0) {
          ++runner.mSpec.mIncarnation;
          // A longer entry may have to move to another row.
          runner.mSpec.mAddress.resize(18 + random() % 150, '0');
        }
        after.erase(runner.mSpec.mId);
        if (random() % 60 < count) {
          after[runner.mSpec.mId] = runner;
          list.push_back(runner);
        }
      }
      const RunnerListPlan plan =
        PlanRunnerList(rows, list, round, Clock(), kName, limits);
      LONGS_EQUAL(0, plan.mEntriesLeftOut.size());
      LONGS_EQUAL(0, plan.mRecordsLeftOut);
      std::string problem;
      Carry(rows, plan, limits, [&] {
        std::map<std::string, InheritedRunner> read;
        for (const InheritedRunner& runner :
             InheritedRunners(ReadAgain(rows), 1, Clock())) {
          read.emplace(runner.mSpec.mId, runner);
          const auto old = before.find(runner.mSpec.mId);
          const auto next = after.find(runner.mSpec.mId);
          const auto says = [&](const auto& aEntry, const auto& aEnd) {
            return aEntry != aEnd &&
                   aEntry->second.mSpec.mIncarnation ==
                     runner.mSpec.mIncarnation &&
                   RunsOf(aEntry->second) == RunsOf(runner);
          };
          if (runner.mPossibleRuns && !says(old, before.end()) &&
              !says(next, after.end())) {
            problem += "a record of neither list: " + runner.mSpec.mId + "\n";
          }
        }
        const RunnerIncarnations first = IncarnationsInFirstRow(rows);
        const auto row = rows.find("runners");
        const bool marked =
          row != rows.end() &&
          row->second.mText.find(kFurtherRowsId) != std::string::npos;
        for (const auto& [id, runner] : before) {
          if (!after.contains(id)) {
            continue;
          }
          if (!read.contains(id)) {
            problem += "missing: " + id + "\n";
          }
          if (!marked && !first.contains(id)) {
            problem += "missing for an earlier version: " + id + "\n";
          }
        }
      });
      const std::vector<InheritedRunner> read =
        InheritedRunners(ReadAgain(rows), 1, Clock());
      if (read.size() != after.size()) {
        problem += "another number of runners\n";
      }
      for (const InheritedRunner& runner : read) {
        const auto wanted = after.find(runner.mSpec.mId);
        if (wanted == after.end() ||
            wanted->second.mSpec.mIncarnation != runner.mSpec.mIncarnation ||
            RunsOf(wanted->second) != RunsOf(runner) ||
            wanted->second.mLeasesExpireAt.has_value() !=
              runner.mLeasesExpireAt.has_value()) {
          problem += "another entry: " + runner.mSpec.mId + "\n";
        }
      }
      if (!problem.empty()) {
        problem.append("in seed ")
          .append(std::to_string(seed))
          .append(", round ")
          .append(std::to_string(round));
      }
      STRCMP_EQUAL("", problem.c_str());
      before = after;
    }
  }
}
