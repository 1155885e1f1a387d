#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr ResourceVector kWorkerCapacity{ 16000, 60000, 0 };

/// @param aCores declared cores; the memory is always 1000 MB
JobSpec
MakeSpec(const std::string& aName,
         std::int64_t aCores,
         TaskClass aClass = TaskClass::Batch,
         const std::string& aTeam = "team")
{
  JobSpec spec;
  spec.mJob = aName;
  spec.mTeam = aTeam;
  spec.mClass = aClass;
  spec.mDeclared = { aCores * 1000, 1000, 0 };
  spec.mExpectedTime = Seconds(60);
  return spec;
}

/// @return the actions of type T, in their order
template<typename T>
std::vector<T>
ActionsOf(const Actions& aActions)
{
  std::vector<T> found;
  for (const Action& action : aActions) {
    if (const auto* one = std::get_if<T>(&action)) {
      found.push_back(*one);
    }
  }
  return found;
}

} // namespace

/// Provides one shard with its workers, on a virtual clock that the test
/// advances.
TEST_GROUP(Placement)
{
  MonotonicTime mNow{ Seconds(1000) };
  std::uint64_t mWorkerClockMs = 100000; ///< The clock of all workers.
  PlacementPolicy mPolicy =
    ValueOf(Registry<PlacementPolicy>::Instance().Find("learned"));
  Shard mShard = MakeShard({}, mPolicy, PriorOwner::None, mNow);

  /// Adds workers that have reported, in a data centre that is in service.
  void AddWorkers(std::size_t aCount, const std::string& aDataCentre = "dc")
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const std::string name =
        aDataCentre + "-w" + std::to_string(mShard.mWorkers.size());
      SetWorker(mShard, { name, aDataCentre, "rack", kWorkerCapacity, false });
    }
    ReportAll();
    SetDataCentre(mShard, aDataCentre, true, mNow, mNow);
  }

  /// @return a report that lists all tasks that should run on the worker
  WorkerReport MakeReport(WorkerIndex aWorker)
  {
    WorkerReport report;
    report.mToken = { 1, mWorkerClockMs };
    for (const TaskSlot& slot : mShard.mWorkers[aWorker].mSlots) {
      TaskReport task;
      task.mJob = slot.mJob;
      task.mAttempt = slot.mAttempt;
      task.mReserved = slot.mReserved;
      task.mSinceCheckpoint = slot.mSinceCheckpoint;
      report.mTasks.push_back(task);
    }
    return report;
  }

  /// Delivers a report of every worker.
  Actions ReportAll()
  {
    Actions actions;
    for (WorkerIndex i = 0; i < mShard.mWorkers.size(); ++i) {
      HandleReport(mShard, i, MakeReport(i), mNow, actions);
    }
    return actions;
  }

  /// Advances the clocks, then delivers reports of all workers and ticks.
  Actions AdvanceTime(Millis aTime)
  {
    mNow += aTime;
    mWorkerClockMs += static_cast<std::uint64_t>(aTime.count());
    Actions actions = ReportAll();
    ConfirmDataCentres();
    HandleTick(mShard, mNow, actions);
    return actions;
  }

  /// Confirms the state of every data centre as of now.
  void ConfirmDataCentres()
  {
    for (const DataCentreStatus& dataCentre : mShard.mDataCentres) {
      SetDataCentre(
        mShard, dataCentre.mName, dataCentre.mInService, mNow, mNow);
    }
  }

  /// Lets every commit among the actions take effect.
  void Commit(const Actions& aActions)
  {
    for (const CommitRow& row : ActionsOf<CommitRow>(aActions)) {
      Actions none;
      HandleCommitted(mShard, row.mRow.mSpec.mJob, row.mSequence, mNow, none);
    }
  }

  /// Submits a job and commits its row.
  void Submit(const JobSpec& aSpec)
  {
    Actions actions;
    CHECK_TRUE(AcceptJob(mShard, aSpec, mNow, actions) ==
               AcceptResult::Committing);
    Commit(actions);
  }

  /// Places queued jobs.
  /// @return the starts
  std::vector<StartTask> Place()
  {
    Actions actions;
    PlaceQueued(mShard, mNow, 1000, actions);
    return ActionsOf<StartTask>(actions);
  }

  /// Delivers a report with the task's outcome, and commits what follows.
  void Finish(const StartTask& aStart, TaskResult aResult)
  {
    WorkerReport report = MakeReport(aStart.mWorker);
    std::erase_if(report.mTasks, [&](const TaskReport& aTask) {
      return aTask.mJob == aStart.mJob;
    });
    report.mOutcomes.push_back(
      { aStart.mJob, aStart.mAttempt, aResult, "", "exit code 1" });
    Actions actions;
    HandleReport(mShard, aStart.mWorker, report, mNow, actions);
    Commit(actions);
  }
};

// Guards against a start of a job that a takeover would lose, because its row
// is not committed yet.
TEST(Placement, JobStartsOnlyAfterItsCommit)
{
  AddWorkers(1);
  Actions actions;
  AcceptJob(mShard, MakeSpec("a", 1), mNow, actions);
  LONGS_EQUAL(0, Place().size());
  Commit(actions);
  LONGS_EQUAL(1, Place().size());
}

// Guards against a repeated submission that creates a second job.
TEST(Placement, RepeatedJobIsRecognised)
{
  AddWorkers(1);
  Submit(MakeSpec("a", 1));
  Actions actions;
  CHECK_TRUE(AcceptJob(mShard, MakeSpec("a", 1), mNow, actions) ==
             AcceptResult::Present);
  LONGS_EQUAL(0, actions.size());
}

// Guards against batch jobs that are placed before services or urgent jobs.
TEST(Placement, JobsArePlacedInOrderOfTheirClasses)
{
  AddWorkers(1);
  Submit(MakeSpec("batch", 8));
  Submit(MakeSpec("urgent", 8, TaskClass::Urgent));
  Submit(MakeSpec("service", 8, TaskClass::Service));
  const auto starts = Place();
  LONGS_EQUAL(2, starts.size());
  STRCMP_EQUAL("service", starts[0].mJob.c_str());
  STRCMP_EQUAL("urgent", starts[1].mJob.c_str());
}

// Guards against a team that gets more than its share by submitting more jobs:
// starts must follow the teams' quotas.
TEST(Placement, TeamWithLowerShareOfItsQuotaInUseGoesFirst)
{
  AddWorkers(1);
  SetTeam(mShard, "large", { 64000, 240000, 0 }, 60, mNow);
  SetTeam(mShard, "small", { 8000, 30000, 0 }, 60, mNow);
  for (int i = 0; i < 4; ++i) {
    Submit(MakeSpec("s" + std::to_string(i), 4, TaskClass::Batch, "small"));
    Submit(MakeSpec("l" + std::to_string(i), 4, TaskClass::Batch, "large"));
  }
  int large = 0;
  for (const StartTask& start : Place()) {
    large += start.mJob[0] == 'l' ? 1 : 0;
  }
  LONGS_EQUAL(3, large);
}

// Guards against a job that fits on no worker and is queued for ever instead of
// being refused with a reason.
TEST(Placement, UnplaceableJobIsRefusedWithTheLargestWorkerSize)
{
  const std::vector<WorkerSpec> workers = {
    { "w", "dc", "rack", kWorkerCapacity, false }
  };
  CHECK_FALSE(WhyUnplaceable(workers, MakeSpec("a", 16)).has_value());
  const auto why = WhyUnplaceable(workers, MakeSpec("b", 17));
  CHECK_TRUE(why.has_value());
  CHECK_TRUE(why->find("16.000000 cores, 60000 MB") != std::string::npos);
}

// Guards against a start in a data centre that operators took out of service
// while this process could not read the table.
TEST(Placement, NothingStartsWithoutARecentConfirmationOfTheDataCentre)
{
  AddWorkers(1);
  Submit(MakeSpec("a", 1));
  mNow += Millis(2001);
  mWorkerClockMs += 2001;
  ReportAll();
  LONGS_EQUAL(0, Place().size());
  ConfirmDataCentres();
  LONGS_EQUAL(1, Place().size());
}

// Guards against a burst of starts in a data centre that has just returned to
// service.
TEST(Placement, StartsRampUpAfterReturn)
{
  AddWorkers(10);
  SetDataCentre(mShard, "dc", false, mNow, mNow);
  for (int i = 0; i < 160; ++i) {
    Submit(MakeSpec("j" + std::to_string(i), 1));
  }
  AdvanceTime(Millis(1000));
  SetDataCentre(mShard, "dc", true, mNow, mNow);
  LONGS_EQUAL(0, Place().size());
  AdvanceTime(Millis(1000));
  LONGS_EQUAL(16, Place().size());
  AdvanceTime(Millis(3000));
  LONGS_EQUAL(48, Place().size());
  AdvanceTime(Millis(6000));
  LONGS_EQUAL(96, Place().size());
}

// Guards against tasks that stay in a data centre that is out of service. They
// must be evicted with services first, then in order of their due times.
TEST(Placement, TasksAreEvictedFromADataCentreThatIsOutOfService)
{
  AddWorkers(1);
  JobSpec late = MakeSpec("late", 1);
  late.mExpectedTime = Seconds(600);
  Submit(late);
  Submit(MakeSpec("soon", 1));
  Submit(MakeSpec("service", 1, TaskClass::Service));
  LONGS_EQUAL(3, Place().size());
  AdvanceTime(Millis(500));
  SetDataCentre(mShard, "dc", false, mNow, mNow);
  Actions actions;
  HandleTick(mShard, mNow, actions);
  const auto saves = ActionsOf<CheckpointTask>(actions);
  LONGS_EQUAL(3, saves.size());
  STRCMP_EQUAL("service", saves[0].mJob.c_str());
  STRCMP_EQUAL("soon", saves[1].mJob.c_str());
  STRCMP_EQUAL("late", saves[2].mJob.c_str());
}

// Guards against a faulty worker that fails all its tasks and keeps getting
// more, and against counting these failures against the jobs.
TEST(Placement, WorkerThatFailsDifferentJobsIsQuarantinedThenGetsOneJob)
{
  AddWorkers(1);
  for (int i = 0; i < 3; ++i) {
    Submit(MakeSpec("j" + std::to_string(i), 1));
  }
  for (const StartTask& start : Place()) {
    Finish(start, TaskResult::Failed);
  }
  LONGS_EQUAL(1, mShard.mCounters.mQuarantines);
  CHECK_TRUE(FindJob(mShard, "j0")->mFailedOn.empty());
  AdvanceTime(Millis(5000));
  LONGS_EQUAL(0, Place().size());
  AdvanceTime(Millis(30000));
  const auto probation = Place();
  LONGS_EQUAL(1, probation.size());
  Finish(probation[0], TaskResult::Completed);
  LONGS_EQUAL(2, Place().size());
}

// Guards against a faulty job that is retried for ever on one worker after the
// other.
TEST(Placement, JobThatFailedOnThreeWorkersIsHeldWithAReason)
{
  AddWorkers(4);
  Submit(MakeSpec("bad", 1));
  for (int i = 0; i < 3; ++i) {
    const auto starts = Place();
    LONGS_EQUAL(1, starts.size());
    WorkerReport report = MakeReport(starts[0].mWorker);
    report.mTasks.clear();
    report.mOutcomes.push_back(
      { "bad", starts[0].mAttempt, TaskResult::Failed, "", "exit code 1" });
    Actions actions;
    HandleReport(mShard, starts[0].mWorker, report, mNow, actions);
    const auto rows = ActionsOf<CommitRow>(actions);
    LONGS_EQUAL(1, rows.size());
    CHECK_TRUE(rows[0].mRow.mPhase ==
               (i < 2 ? JobPhase::Queued : JobPhase::Held));
    if (i == 2) {
      STRCMP_EQUAL("failed on 3 different workers, last: exit code 1",
                   rows[0].mRow.mReason.c_str());
    }
    Commit(actions);
    AdvanceTime(Millis(60000));
  }
  POINTERS_EQUAL(nullptr, FindJob(mShard, "bad"));
}

// Guards against a second start of a task that a silent worker may still run:
// it must wait for the lease term of 10 s and the margin of 1 s.
TEST(Placement, TaskOfSilentWorkerIsRetriedOnlyAfterItsLeaseHasEnded)
{
  AddWorkers(1);
  Submit(MakeSpec("a", 1));
  LONGS_EQUAL(1, Place().size());
  AdvanceTime(Millis(500));
  Actions actions;
  HandleTick(mShard, mNow + Millis(11000), actions);
  LONGS_EQUAL(0, ActionsOf<CommitRow>(actions).size());
  HandleTick(mShard, mNow + Millis(11001), actions);
  const auto rows = ActionsOf<CommitRow>(actions);
  LONGS_EQUAL(1, rows.size());
  LONGS_EQUAL(1, rows[0].mRow.mAttempt);
}

// Guards against a second start after a lost answer while the first start may
// still arrive: the worker accepts it until its token is 2 s old.
TEST(Placement, UnansweredStartIsRetriedOnlyAfterItsTokenHasExpired)
{
  AddWorkers(1);
  Submit(MakeSpec("a", 1));
  const auto starts = Place();
  Actions actions;
  HandleStartAnswer(mShard, 0, "a", 0, StartUnknown{}, mNow, actions);
  WorkerReport report;
  report.mToken = { 1, starts[0].mToken.mClockMs + 2000 };
  HandleReport(mShard, 0, report, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Starting);
  report.mToken.mClockMs += 1;
  HandleReport(mShard, 0, report, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Committing);
}

// Guards against a second start, after a takeover, of a task that the previous
// owner started.
TEST(Placement, JobIsReconciledOnlyAfterEveryWorkerHasReported)
{
  mShard = MakeShard({}, mPolicy, PriorOwner::Possible, mNow);
  SetWorker(mShard, { "w0", "dc", "rack", kWorkerCapacity, false });
  SetWorker(mShard, { "w1", "dc", "rack", kWorkerCapacity, false });
  JobRow row;
  row.mSpec = MakeSpec("a", 1);
  LoadJob(mShard, row, mNow);
  Actions actions;
  HandleReport(mShard, 0, MakeReport(0), mNow, actions);
  HandleTick(mShard, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Reconciling);
  WorkerReport report = MakeReport(1);
  TaskReport task;
  task.mJob = "a";
  task.mReserved = { 1000, 1000, 0 };
  report.mTasks.push_back(task);
  HandleReport(mShard, 1, report, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Running);
  LONGS_EQUAL(15000, mShard.mWorkers[1].mFree.mMilliCores);
}

// Guards against a job that waits for a silent worker after a takeover although
// another worker has reported it to this owner before its task failed, and
// against a start of a job that no worker has reported before the leases of the
// earlier owner have ended.
TEST(Placement, ReportedJobRestartsWhileAnotherWorkerIsSilent)
{
  mShard = MakeShard({}, mPolicy, PriorOwner::Possible, mNow);
  SetWorker(mShard, { "w0", "dc", "rack", kWorkerCapacity, false });
  SetWorker(mShard, { "w1", "dc", "rack", kWorkerCapacity, false });
  SetWorker(mShard, { "silent", "dc", "rack", kWorkerCapacity, false });
  for (const char* name : { "reported", "unseen" }) {
    JobRow row;
    row.mSpec = MakeSpec(name, 1);
    LoadJob(mShard, row, mNow);
  }
  SetDataCentre(mShard, "dc", true, mNow, mNow);
  WorkerReport report = MakeReport(0);
  TaskReport task;
  task.mJob = "reported";
  task.mReserved = { 1000, 1000, 0 };
  report.mTasks.push_back(task);
  Actions actions;
  HandleReport(mShard, 0, report, mNow, actions);
  HandleReport(mShard, 1, MakeReport(1), mNow, actions);
  report = {};
  report.mToken = { 1, ++mWorkerClockMs };
  report.mOutcomes = { { "reported", 0, TaskResult::Failed, "", "" } };
  actions.clear();
  HandleReport(mShard, 0, report, mNow, actions);
  Commit(actions);
  const MonotonicTime failedAt = mNow;
  std::optional<Millis> restarted;
  std::optional<Millis> unseen;
  while (mNow - failedAt < Seconds(15)) {
    mNow += Millis(100);
    mWorkerClockMs += 100;
    actions.clear();
    HandleReport(mShard, 0, MakeReport(0), mNow, actions);
    HandleReport(mShard, 1, MakeReport(1), mNow, actions);
    ConfirmDataCentres();
    HandleTick(mShard, mNow, actions);
    Commit(actions);
    PlaceQueued(mShard, mNow, 10, actions);
    for (const StartTask& start : ActionsOf<StartTask>(actions)) {
      (start.mJob == "reported" ? restarted : unseen) =
        std::chrono::duration_cast<Millis>(mNow - failedAt);
    }
  }
  CHECK_TRUE(restarted.has_value() && unseen.has_value());
  CHECK_COMPARE(restarted->count(), <=, 1200);
  CHECK_COMPARE(unseen->count(), >, 11000);
  CHECK_COMPARE(unseen->count(), <=, 11300);
}

// Guards against a service that is never started again because it has failed on
// the only worker that answers, while a silent one counts as an alternative.
TEST(Placement, JobRestartsOnTheOnlyWorkerThatAnswers)
{
  AddWorkers(2);
  Submit(MakeSpec("service", 1, TaskClass::Service));
  const std::vector<StartTask> starts = Place();
  LONGS_EQUAL(1, starts.size());
  const WorkerIndex worker = starts.front().mWorker;
  // The other worker has been silent for a while when the task fails.
  mNow += Seconds(3);
  mWorkerClockMs += 3000;
  Finish(starts.front(), TaskResult::Failed);
  std::size_t restarts = 0;
  for (int i = 0; i < 600 && restarts == 0; ++i) {
    mNow += Millis(100);
    mWorkerClockMs += 100;
    Actions actions;
    HandleReport(mShard, worker, MakeReport(worker), mNow, actions);
    ConfirmDataCentres();
    HandleTick(mShard, mNow, actions);
    Commit(actions);
    restarts += Place().size();
  }
  LONGS_EQUAL(1, restarts);
}

// Guards against a cancelled job that is started again, and against a job that
// had completed before the cancellation arrived but is stored as cancelled.
TEST(Placement, CancelledJobIsNotRestartedAndCompletedJobStaysCompleted)
{
  AddWorkers(1);
  Submit(MakeSpec("stopped", 1));
  Submit(MakeSpec("finished", 1));
  const auto starts = Place();
  AdvanceTime(Millis(500));
  Actions actions;
  CancelJob(mShard, "stopped", mNow, actions);
  CancelJob(mShard, "finished", mNow, actions);
  LONGS_EQUAL(2, ActionsOf<StopTask>(actions).size());
  WorkerReport report;
  report.mToken = { 1, ++mWorkerClockMs };
  report.mOutcomes = { { "stopped", 0, TaskResult::Stopped, "", "" },
                       { "finished", 0, TaskResult::Completed, "", "" } };
  actions.clear();
  HandleReport(mShard, 0, report, mNow, actions);
  const auto rows = ActionsOf<CommitRow>(actions);
  LONGS_EQUAL(2, rows.size());
  CHECK_TRUE(rows[0].mRow.mPhase == JobPhase::Cancelled);
  CHECK_TRUE(rows[1].mRow.mPhase == JobPhase::Completed);
}

// Guards against a service that waits for batch tasks to end, against evicting
// more tasks or losing more work than needed, and against evictions beyond a
// team's budget.
TEST(Placement, ServiceEvictsTheBatchTaskThatLosesTheLeastWork)
{
  AddWorkers(1);
  SetTeam(mShard, "team", {}, 1, mNow);
  Submit(MakeSpec("old", 8));
  Submit(MakeSpec("young", 8));
  LONGS_EQUAL(2, Place().size());
  AdvanceTime(Millis(500));
  for (TaskSlot& slot : mShard.mWorkers[0].mSlots) {
    slot.mSinceCheckpoint = Seconds(slot.mJob == "old" ? 100 : 10);
  }
  Submit(MakeSpec("service-0", 4, TaskClass::Service));
  Actions actions;
  PlaceQueued(mShard, mNow, 10, actions);
  LONGS_EQUAL(1, ActionsOf<CheckpointTask>(actions).size());
  STRCMP_EQUAL("young", ActionsOf<CheckpointTask>(actions)[0].mJob.c_str());
  // The budget of one eviction per hour is used up.
  Submit(MakeSpec("service-1", 8, TaskClass::Service));
  actions.clear();
  PlaceQueued(mShard, mNow, 10, actions);
  LONGS_EQUAL(0, ActionsOf<CheckpointTask>(actions).size());
}

// Guards against a batch job that takes the room that an eviction has made for
// a service.
TEST(Placement, RoomMadeForAServiceIsReservedForIt)
{
  AddWorkers(1);
  Submit(MakeSpec("batch", 16));
  const auto starts = Place();
  AdvanceTime(Millis(500));
  Submit(MakeSpec("service", 8, TaskClass::Service));
  Place();
  Submit(MakeSpec("other", 8));
  Finish(starts[0], TaskResult::Stopped);
  // The back-off keeps the service from being placed in this pass, which shows
  // that the batch job doesn't take its room.
  Job* service = FindJob(mShard, "service");
  service->mNotBefore = mNow + Seconds(1);
  LONGS_EQUAL(0, Place().size());
  service->mNotBefore = mNow;
  const auto after = Place();
  STRCMP_EQUAL("service", after.at(0).mJob.c_str());
}

// Guards against reservations that stay at the declared size for a team whose
// tasks use more, and against one wrong report that changes them too far.
TEST(Placement, UsageModelFollowsReportedUsage)
{
  UsageModel model;
  UpdateUsageModel(model, { 1000, 1000, 0 }, { 100000, 1000, 0 });
  CHECK_TRUE(model.mCoresRatio <= 1.25);
  CHECK_TRUE(model.mCoresRatio > 1.2);
  for (int i = 0; i < 30; ++i) {
    UpdateUsageModel(model, { 1000, 1000, 0 }, { 3000, 500, 0 });
  }
  DOUBLES_EQUAL(3.0, model.mCoresRatio, 0.01);
  LONGS_EQUAL(3000, ExpectedUsage(model, { 1000, 1000, 0 }).mMilliCores);
  CHECK_TRUE(model.mMemoryRatio < 1);
}

// Guards against batch tasks that keep slowing a service down. The steps must
// be taken one by one, and taken back when the service is fast again.
TEST(Placement, InterferenceResponseEscalatesAndDeescalatesInSteps)
{
  AddWorkers(1);
  Submit(MakeSpec("service", 4, TaskClass::Service));
  Submit(MakeSpec("batch", 4));
  LONGS_EQUAL(2, Place().size());
  AdvanceTime(Millis(500));
  const auto report = [&](double aRatio) {
    WorkerReport workerReport = MakeReport(0);
    workerReport.mToken.mClockMs = ++mWorkerClockMs;
    for (TaskReport& task : workerReport.mTasks) {
      task.mLatencyRatio = task.mJob == "service" ? aRatio : 0;
    }
    Actions actions;
    HandleReport(mShard, 0, workerReport, mNow, actions);
    return actions;
  };
  report(1.5);
  report(1.5);
  Submit(MakeSpec("more", 1));
  LONGS_EQUAL(0, Place().size());
  report(1.5);
  LONGS_EQUAL(1, ActionsOf<ThrottleTask>(report(1.5)).size());
  report(1.5);
  LONGS_EQUAL(1, ActionsOf<CheckpointTask>(report(1.5)).size());
  for (int i = 0; i < 20; ++i) {
    report(0.5);
  }
  LONGS_EQUAL(1, Place().size());
}

// Guards against a large job that starves because small jobs keep taking the
// room that becomes free.
TEST(Placement, WorkerIsReservedForAJobThatHasWaitedTooLong)
{
  AddWorkers(1);
  Submit(MakeSpec("small", 1));
  const auto first = Place();
  Submit(MakeSpec("large", 16));
  AdvanceTime(Millis(61000));
  LONGS_EQUAL(0, Place().size());
  Submit(MakeSpec("next", 1));
  LONGS_EQUAL(0, Place().size());
  Finish(first[0], TaskResult::Completed);
  const auto starts = Place();
  LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("large", starts[0].mJob.c_str());
}
