// Fills a shard with running tasks, and measures how many placements per second
// one thread makes while tasks end and new jobs replace them.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

namespace paddle {

namespace {

constexpr std::size_t kTasksPerWorker = 27; // About 17,000 on 640 workers.
constexpr std::size_t kTeams = 110;

/// A shard under load.
struct Bench
{
  std::mt19937_64 mRandom{ 1 };
  PlacementPolicy mPolicy;
  Shard mShard;
  MonotonicTime mNow{ Seconds(1000) };
  std::uint64_t mNextNumber = 0; ///< For the names of jobs and worker clocks.

  explicit Bench(const std::string& aPolicy)
    : mPolicy(ValueOf(Registry<PlacementPolicy>::Instance().Find(aPolicy)))
    , mShard(MakeShard({}, mPolicy, PriorOwner::None, mNow))
  {
  }

  void AddWorkers(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const ResourceVector capacity{ 32000, 125000, i % 8 == 0 ? 8 : 0 };
      SetWorker(
        mShard,
        { "worker-" + std::to_string(i), "dc", "rack", capacity, false });
    }
    for (WorkerIndex i = 0; i < aCount; ++i) {
      ReportIdle(i);
    }
    SetDataCentre(mShard, "dc", true, mNow, mNow);
  }

  /// Delivers a report of a worker that runs no task.
  void ReportIdle(WorkerIndex aWorker)
  {
    Actions actions;
    WorkerReport report;
    report.mToken = { 1, ++mNextNumber };
    HandleReport(mShard, aWorker, report, mNow, actions);
  }

  /// Adds a queued job of random size, team and class.
  void AddJob()
  {
    JobSpec spec;
    spec.mJob = "job-" + std::to_string(mNextNumber++);
    spec.mTeam = "team-" + std::to_string(mRandom() % kTeams);
    spec.mClass = mRandom() % 10 == 0 ? TaskClass::Urgent : TaskClass::Batch;
    spec.mDeclared = { static_cast<std::int64_t>(500 + mRandom() % 1000),
                       static_cast<std::int64_t>(1000 + mRandom() % 4000),
                       0 };
    JobRow row;
    row.mSpec = spec;
    AdoptJob(mShard, row, mNow);
  }

  /// Delivers a report of a random worker in which one task has completed and
  /// the others run, and commits what follows. Does nothing if it runs no task.
  void EndOne()
  {
    const auto index =
      static_cast<WorkerIndex>(mRandom() % mShard.mWorkers.size());
    const Worker& worker = mShard.mWorkers[index];
    if (worker.mSlots.empty()) {
      return;
    }
    WorkerReport report;
    report.mToken = { 1, ++mNextNumber };
    for (std::size_t i = 1; i < worker.mSlots.size(); ++i) {
      const TaskSlot& slot = worker.mSlots[i];
      TaskReport task;
      task.mJob = slot.mJob;
      task.mAttempt = slot.mAttempt;
      task.mReserved = slot.mReserved;
      task.mUsed = { slot.mDeclared.mMilliCores / 2,
                     slot.mDeclared.mMemoryMb / 2,
                     0 };
      report.mTasks.push_back(task);
    }
    const TaskSlot& ended = worker.mSlots[0];
    report.mOutcomes.push_back(
      { ended.mJob, ended.mAttempt, TaskResult::Completed, "", "" });
    Actions actions;
    HandleReport(mShard, index, report, mNow, actions);
    for (const Action& action : actions) {
      if (const auto* row = std::get_if<CommitRow>(&action)) {
        Actions none;
        HandleCommitted(
          mShard, row->mRow.mSpec.mJob, row->mSequence, mNow, none);
      }
    }
  }
};

/// Measures one policy with a number of workers and prints the results.
void
Run(const std::string& aPolicy, std::size_t aWorkers)
{
  using Clock = std::chrono::steady_clock;
  Bench bench(aPolicy);
  bench.AddWorkers(aWorkers);
  for (std::size_t i = 0; i < aWorkers * kTasksPerWorker; ++i) {
    bench.AddJob();
  }
  Actions actions;
  PlaceQueued(bench.mShard, bench.mNow, aWorkers * kTasksPerWorker, actions);
  const std::size_t running = bench.mShard.mCounters.mStarts;
  constexpr std::size_t kRounds = 200;
  constexpr std::size_t kJobsPerRound = 100;
  std::size_t placed = 0;
  Clock::duration placing{ 0 };
  Clock::duration reporting{ 0 };
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto reported = Clock::now();
    for (std::size_t i = 0; i < kJobsPerRound; ++i) {
      bench.EndOne();
    }
    reporting += Clock::now() - reported;
    for (std::size_t i = 0; i < kJobsPerRound; ++i) {
      bench.AddJob();
    }
    actions.clear();
    const auto begun = Clock::now();
    placed += PlaceQueued(bench.mShard, bench.mNow, kJobsPerRound, actions);
    placing += Clock::now() - begun;
  }
  const double placingUs =
    std::chrono::duration<double, std::micro>(placing).count();
  const double reportingUs =
    std::chrono::duration<double, std::micro>(reporting).count();
  std::printf("policy=%s workers=%zu running=%zu placed=%zu "
              "us_per_placement=%.2f placements_per_s=%.0f "
              "us_per_report=%.2f\n",
              aPolicy.c_str(),
              aWorkers,
              running,
              placed,
              placingUs / static_cast<double>(placed),
              1e6 * static_cast<double>(placed) / placingUs,
              reportingUs / (kRounds * kJobsPerRound));
}

} // namespace

} // namespace paddle

int
main(int aCount, char** aArguments)
{
  const std::string policy = aCount > 1 ? aArguments[1] : "learned";
  for (const std::size_t workers : { 64, 640, 6400, 19000 }) {
    paddle::Run(policy, workers);
  }
  return EXIT_SUCCESS;
}
