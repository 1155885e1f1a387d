#include <json/value.h>
#include <string>

#include <LibBase/JsonReader.h>
#include <LibDispatch/Dispatcher.h>
#include <LibNode/JobRows.h>
#include <LibNode/StoreLimits.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

constexpr std::size_t kRowBytes = StoreLimits{}.mRowBytes;

/// @return the number of the run with this counter in an epoch
std::int64_t
RunOf(std::int64_t aEpoch, std::int64_t aCounter)
{
  return (aEpoch << 20) + aCounter;
}

/// @return progress of a job with one step, of whose tasks each third is done.
///         The others have failed runs in several epochs.
JobProgress
ProgressWith(std::uint32_t aTasks, int aFailures, const std::string& aSaved)
{
  StepProgress step;
  for (std::uint32_t i = 0; i < aTasks; ++i) {
    step.mDone.push_back(i % 3 == 0);
    if (step.mDone.back()) {
      continue;
    }
    for (int k = 0; k < aFailures; ++k) {
      step.mFailedRuns[i].push_back(RunOf(1 + k, i));
    }
    if (!aSaved.empty()) {
      step.mCheckpoints[i] = aSaved + std::to_string(i);
    }
  }
  JobProgress progress;
  progress.mBegan = true;
  progress.mOccurrencesBegun = 1;
  progress.mOccurrences[0].push_back(step);
  return progress;
}

/// @return the flags that a version before the compact form reads, in which
///         only the digit 1 stands for a task that is done
std::vector<bool>
FlagsForEarlierVersion(const std::string& aText)
{
  std::vector<bool> flags;
  const auto value = ParseJsonObject(aText);
  CHECK_TRUE(value.has_value());
  for (const char flag : (*value)["occurrences"]["0"][0]["done"].asString()) {
    flags.push_back(flag == '1');
  }
  return flags;
}

/// @return a job with as many steps of this kind as are accepted
JobSpec
LargestJob(std::uint32_t aTasksPerStep)
{
  constexpr std::size_t kMaxSteps = 1000;
  JobSpec job;
  job.mId = "0123456789abcdef";
  job.mQueue = "q";
  do {
    job.mSteps.emplace_back().mTaskCount = aTasksPerStep;
  } while (job.mSteps.size() <= kMaxSteps &&
           ProgressBytesBound(job, 1) <= kRowBytes);
  job.mSteps.pop_back();
  return job;
}

} // namespace

TEST_GROUP(JobRows){};

// Guards against another format of the usual row, which versions before the
// compact form must read.
TEST(JobRows, KeepsTheFormatOfASmallRow)
{
  STRCMP_EQUAL(
    R"({"began":true,"occurrences":{"0":[{"done":"1000","failed_runs":)"
    R"({"1":[1048577],"2":[1048578]},"saved":{"1":"c1","2":"c2"}},)"
    R"({"done":"0"}]},"occurrences_begun":1,"phase":"active"})",
    [] {
      JobProgress progress = ProgressWith(3, 1, "c");
      progress.mOccurrences[0][0].mDone.push_back(false);
      progress.mOccurrences[0].emplace_back().mDone.push_back(false);
      return FormatProgress(progress);
    }()
      .c_str());
}

// Guards against a progress row that the store rejects because of checkpoints.
// It was sent again and again, and nothing behind it was stored.
TEST(JobRows, LeavesOutCheckpointsThatDoNotFit)
{
  const JobProgress progress = ProgressWith(3000, 1, std::string(100, '\x01'));
  const std::string text = FormatProgress(progress);
  CHECK_TRUE(text.size() <= kRowBytes);
  const auto read = ParseProgress(text);
  const StepProgress& before = progress.mOccurrences.at(0)[0];
  const StepProgress& after = read->mOccurrences.at(0)[0];
  CHECK_TRUE(before.mDone == after.mDone);
  CHECK_TRUE(before.mFailedRuns == after.mFailedRuns);
  CHECK_TRUE(!after.mCheckpoints.empty());
  for (const auto& [index, checkpoint] : after.mCheckpoints) {
    CHECK_TRUE(checkpoint == before.mCheckpoints.at(index));
  }
}

// Guards against one checkpoint that is larger than a row, and against leaving
// out the others with it.
TEST(JobRows, LeavesOutOnlyTheCheckpointThatIsTooLarge)
{
  JobProgress progress = ProgressWith(10, 0, "c");
  progress.mOccurrences[0][0].mCheckpoints[1] = std::string(70000, 'x');
  const auto read = ParseProgress(FormatProgress(progress));
  const auto& checkpoints = read->mOccurrences.at(0)[0].mCheckpoints;
  CHECK_FALSE(checkpoints.contains(1));
  LONGS_EQUAL(5, checkpoints.size());
  STRCMP_EQUAL("c8", checkpoints.at(8).c_str());
}

// Guards against a wide job that runs tasks again, or more often than allowed,
// because the failed runs of all its tasks do not fit into the row.
TEST(JobRows, KeepsFlagsAndCountsOfFailedRunsOfAWideJob)
{
  const JobProgress progress = ProgressWith(6000, 3, "checkpoint");
  const std::string text = FormatProgress(progress);
  CHECK_TRUE(text.size() <= kRowBytes);
  const auto read = ParseProgress(text);
  const StepProgress& before = progress.mOccurrences.at(0)[0];
  const StepProgress& after = read->mOccurrences.at(0)[0];
  CHECK_TRUE(before.mDone == after.mDone);
  CHECK_TRUE(before.mDone == FlagsForEarlierVersion(text));
  LONGS_EQUAL(before.mFailedRuns.size(), after.mFailedRuns.size());
  for (const auto& [index, runs] : before.mFailedRuns) {
    const std::vector<std::int64_t>& stored = after.mFailedRuns.at(index);
    LONGS_EQUAL(runs.size(), stored.size());
    CHECK_TRUE(runs.back() == stored.back());
    CHECK_TRUE(stored.front() == kUnlistedRun);
  }
  // What was read can be stored and read again.
  const auto again = ParseProgress(FormatProgress(*read));
  CHECK_TRUE(again->mOccurrences.at(0)[0].mFailedRuns == after.mFailedRuns);
}

// Guards against an accepted job whose progress the store rejects at its
// largest: every task has failed as often as can be stored, in epochs that are
// far apart.
TEST(JobRows, TheProgressOfEachAcceptedJobFits)
{
  for (const std::uint32_t tasks : { 1U, 30U, 6523U }) {
    const JobSpec job = LargestJob(tasks);
    CHECK_FALSE(FindJobViolation(job, {}).has_value());
    CHECK_TRUE(job.mSteps.size() == 1000 || ProgressBytesBound(job, 1) > 65000);
    JobProgress progress;
    progress.mPhase = JobPhase::Cancelled;
    progress.mBegan = true;
    progress.mOccurrencesBegun = progress.mOccurrencesDone = UINT32_MAX;
    for (const StepSpec& spec : job.mSteps) {
      StepProgress& step = progress.mOccurrences[UINT32_MAX].emplace_back();
      for (std::uint32_t i = 0; i < spec.mTaskCount; ++i) {
        step.mDone.push_back(false);
        std::vector<std::int64_t>& runs = step.mFailedRuns[i];
        for (int k = 0; k < 33; ++k) {
          runs.push_back(RunOf(k, i + 1));
        }
        if (i % 2 == 0) {
          runs.push_back(INT64_MAX - i);
        }
        step.mCheckpoints[i] = "checkpoint";
      }
    }
    const std::string text = FormatProgress(progress);
    CHECK_TRUE(text.size() <= kRowBytes);
    const auto read = ParseProgress(text);
    LONGS_EQUAL(job.mSteps.size(), read->mOccurrences.at(UINT32_MAX).size());
    for (const StepProgress& step : read->mOccurrences.at(UINT32_MAX)) {
      LONGS_EQUAL(tasks, step.mFailedRuns.size());
      LONGS_EQUAL(34, step.mFailedRuns.at(0).size());
    }
  }
}

// Guards against a process that ends because a stored row is malformed.
TEST(JobRows, SkipsMalformedFailedRuns)
{
  for (const char* failed : { "A",
                              "AB",
                              "A!B",
                              "AAA",
                              "ggggggggggggggg",
                              "CBAABA",
                              "A__________" }) {
    const auto read = ParseProgress(
      std::string(R"({"occurrences":{"0":[{"done":"00","failed":")") + failed +
      R"("}]}})");
    CHECK_TRUE(read->mOccurrences.at(0)[0].mFailedRuns.empty());
  }
}

// Guards against losing the progress of a job that is handed over to another
// shard, or the number of its moves, by which further ones wait longer.
TEST(JobRows, AMovedJobKeepsItsProgress)
{
  AcceptedJob job;
  job.mSpec.mId = "0123456789abcdef";
  job.mSpec.mSteps.emplace_back().mTaskCount = 3;
  CHECK_FALSE(ParseAcceptedJob(FormatAcceptedJob(job))->mProgress.has_value());
  LONGS_EQUAL(0, ParseAcceptedJob(FormatAcceptedJob(job))->mMoves);
  job.mMoves = 2;
  job.mProgress = ProgressWith(3, 2, "c");
  const auto read = ParseAcceptedJob(FormatAcceptedJob(job));
  LONGS_EQUAL(2, read->mMoves);
  STRCMP_EQUAL(FormatProgress(*job.mProgress).c_str(),
               FormatProgress(*read->mProgress).c_str());
}

// Guards against a job whose account is lost with a rewrite of its status row,
// and against rows without an account that earlier versions can't read as such.
TEST(JobRows, AStatusNamesTheAccount)
{
  JobStatus status{ 3, "q", JobPhase::Active, true, false, "a" };
  STRCMP_EQUAL("a", ParseStatus(FormatStatus(status))->mAccount.c_str());
  status.mAccount.clear();
  const std::string text = FormatStatus(status);
  CHECK_TRUE(text.find("account") == std::string::npos);
  STRCMP_EQUAL("", ParseStatus(text)->mAccount.c_str());
}
