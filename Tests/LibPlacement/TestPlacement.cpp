#include <LibKernel/Registry.h>
#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/Shard.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr Amount kWorkerSize{ 16000, 60000, 0 };

JobSpec
Spec(const std::string& aName,
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

template<typename T>
std::vector<T>
Only(const Actions& aActions)
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

/// One shard with its workers, on a clock that the test moves.
TEST_GROUP(Placement)
{
  MonotonicTime mNow{ Seconds(1000) };
  std::uint64_t mClock = 100000;
  PlacementPolicy mPolicy =
    ValueOf(Registry<PlacementPolicy>::Instance().Find("learned"));
  Shard mShard = MakeShard({}, mPolicy, History::None, mNow);

  void AddWorkers(std::size_t aCount, const std::string& aDataCentre = "dc")
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const std::string name =
        aDataCentre + "-w" + std::to_string(mShard.mWorkers.size());
      SetWorker(mShard, { name, aDataCentre, "rack", kWorkerSize, false });
    }
    HearAll();
    SetDataCentre(mShard, aDataCentre, true, mNow, mNow);
  }

  WorkerReport Report(WorkerIndex aWorker)
  {
    WorkerReport report;
    report.mToken = { 1, mClock };
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

  Actions HearAll()
  {
    Actions actions;
    for (WorkerIndex i = 0; i < mShard.mWorkers.size(); ++i) {
      HandleReport(mShard, i, Report(i), mNow, actions);
    }
    return actions;
  }

  /// Lets time pass while every worker reports what it should run.
  Actions Pass(Millis aTime)
  {
    mNow += aTime;
    mClock += static_cast<std::uint64_t>(aTime.count());
    Actions actions = HearAll();
    Prove();
    HandleTick(mShard, mNow, actions);
    return actions;
  }

  void Prove()
  {
    for (const DataCentreGate& gate : mShard.mDataCentres) {
      SetDataCentre(mShard, gate.mName, gate.mInService, mNow, mNow);
    }
  }

  /// Commits everything that waits for a commit.
  void Commit(const Actions& aActions)
  {
    for (const CommitRow& row : Only<CommitRow>(aActions)) {
      Actions none;
      HandleCommitted(mShard, row.mRow.mSpec.mJob, row.mSequence, mNow, none);
    }
  }

  void Submit(const JobSpec& aSpec)
  {
    Actions actions;
    CHECK_TRUE(AcceptJob(mShard, aSpec, mNow, actions) ==
               AcceptResult::Committing);
    Commit(actions);
  }

  std::vector<StartTask> Place()
  {
    Actions actions;
    PlaceQueued(mShard, mNow, 1000, actions);
    return Only<StartTask>(actions);
  }

  /// Reports that a task ended in some way, and commits what follows.
  void Finish(const StartTask& aStart, TaskResult aResult)
  {
    WorkerReport report = Report(aStart.mWorker);
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

// Guards against an acceptance that is lost in a takeover: nothing starts
// before the row is committed.
TEST(Placement, JobStartsOnlyAfterItsCommit)
{
  AddWorkers(1);
  Actions actions;
  AcceptJob(mShard, Spec("a", 1), mNow, actions);
  LONGS_EQUAL(0, Place().size());
  Commit(actions);
  LONGS_EQUAL(1, Place().size());
}

// Guards against a repeated submit that creates a second job.
TEST(Placement, RepeatedJobIsRecognised)
{
  AddWorkers(1);
  Submit(Spec("a", 1));
  Actions actions;
  CHECK_TRUE(AcceptJob(mShard, Spec("a", 1), mNow, actions) ==
             AcceptResult::Present);
  LONGS_EQUAL(0, actions.size());
}

// Guards against batch that delays services or urgent work.
TEST(Placement, ServicesThenUrgentThenBatch)
{
  AddWorkers(1);
  Submit(Spec("batch", 8));
  Submit(Spec("urgent", 8, TaskClass::Urgent));
  Submit(Spec("service", 8, TaskClass::Service));
  const auto starts = Place();
  LONGS_EQUAL(2, starts.size());
  STRCMP_EQUAL("service", starts[0].mJob.c_str());
  STRCMP_EQUAL("urgent", starts[1].mJob.c_str());
}

// Guards against one team that crowds out another by its number of jobs.
TEST(Placement, TeamWithLessOfItsQuotaInUseGoesFirst)
{
  AddWorkers(1);
  SetTeam(mShard, "large", { 64000, 240000, 0 }, 60, mNow);
  SetTeam(mShard, "small", { 8000, 30000, 0 }, 60, mNow);
  for (int i = 0; i < 4; ++i) {
    Submit(Spec("s" + std::to_string(i), 4, TaskClass::Batch, "small"));
    Submit(Spec("l" + std::to_string(i), 4, TaskClass::Batch, "large"));
  }
  int large = 0;
  for (const StartTask& start : Place()) {
    large += start.mJob[0] == 'l' ? 1 : 0;
  }
  LONGS_EQUAL(3, large);
}

// Guards against a job that can never run and waits for ever.
TEST(Placement, ImpossibleJobIsRefusedWithTheLargestSize)
{
  const std::vector<WorkerSpec> workers = {
    { "w", "dc", "rack", kWorkerSize, false }
  };
  CHECK_FALSE(WhyNeverHeld(workers, Spec("a", 16)).has_value());
  const auto why = WhyNeverHeld(workers, Spec("b", 17));
  CHECK_TRUE(why.has_value());
  CHECK_TRUE(why->find("16.000000 cores, 60000 MB") != std::string::npos);
}

// Guards against a start after operators took the data centre out while this
// process was cut off from the table.
TEST(Placement, NothingStartsOnAnOldProof)
{
  AddWorkers(1);
  Submit(Spec("a", 1));
  mNow += Millis(2001);
  mClock += 2001;
  HearAll();
  LONGS_EQUAL(0, Place().size());
  Prove();
  LONGS_EQUAL(1, Place().size());
}

// Guards against a burst of starts into a data centre that has just returned.
TEST(Placement, StartsRampUpAfterReturn)
{
  AddWorkers(10);
  SetDataCentre(mShard, "dc", false, mNow, mNow);
  for (int i = 0; i < 160; ++i) {
    Submit(Spec("j" + std::to_string(i), 1));
  }
  Pass(Millis(1000));
  SetDataCentre(mShard, "dc", true, mNow, mNow);
  LONGS_EQUAL(0, Place().size());
  Pass(Millis(1000));
  LONGS_EQUAL(16, Place().size());
  Pass(Millis(3000));
  LONGS_EQUAL(48, Place().size());
  Pass(Millis(6000));
  LONGS_EQUAL(96, Place().size());
}

// Guards against an operator's command that leaves tasks running: they are
// moved in order of their deadlines, services first.
TEST(Placement, TasksLeaveADataCentreThatIsOut)
{
  AddWorkers(1);
  JobSpec late = Spec("late", 1);
  late.mExpectedTime = Seconds(600);
  Submit(late);
  Submit(Spec("soon", 1));
  Submit(Spec("service", 1, TaskClass::Service));
  LONGS_EQUAL(3, Place().size());
  Pass(Millis(500));
  SetDataCentre(mShard, "dc", false, mNow, mNow);
  Actions actions;
  HandleTick(mShard, mNow, actions);
  const auto saves = Only<CheckpointTask>(actions);
  LONGS_EQUAL(3, saves.size());
  STRCMP_EQUAL("service", saves[0].mJob.c_str());
  STRCMP_EQUAL("soon", saves[1].mJob.c_str());
  STRCMP_EQUAL("late", saves[2].mJob.c_str());
}

// Guards against a worker that fails everything and keeps getting work, and
// against blaming the jobs for it.
TEST(Placement, WorkerThatFailsDifferentJobsIsQuarantinedThenTriedWithOne)
{
  AddWorkers(1);
  for (int i = 0; i < 3; ++i) {
    Submit(Spec("j" + std::to_string(i), 1));
  }
  for (const StartTask& start : Place()) {
    Finish(start, TaskResult::Failed);
  }
  LONGS_EQUAL(1, mShard.mCounters.mQuarantines);
  CHECK_TRUE(FindJob(mShard, "j0")->mFailedOn.empty());
  Pass(Millis(5000));
  LONGS_EQUAL(0, Place().size());
  Pass(Millis(30000));
  const auto probation = Place();
  LONGS_EQUAL(1, probation.size());
  Finish(probation[0], TaskResult::Ended);
  LONGS_EQUAL(2, Place().size());
}

// Guards against a broken job that is tried on worker after worker for ever.
TEST(Placement, JobThatFailedOnThreeWorkersIsHeldWithAReason)
{
  AddWorkers(4);
  Submit(Spec("bad", 1));
  for (int i = 0; i < 3; ++i) {
    const auto starts = Place();
    LONGS_EQUAL(1, starts.size());
    WorkerReport report = Report(starts[0].mWorker);
    report.mTasks.clear();
    report.mOutcomes.push_back(
      { "bad", starts[0].mAttempt, TaskResult::Failed, "", "exit code 1" });
    Actions actions;
    HandleReport(mShard, starts[0].mWorker, report, mNow, actions);
    const auto rows = Only<CommitRow>(actions);
    LONGS_EQUAL(1, rows.size());
    CHECK_TRUE(rows[0].mRow.mPhase ==
               (i < 2 ? JobPhase::Queued : JobPhase::Held));
    if (i == 2) {
      STRCMP_EQUAL("failed on 3 different workers, last: exit code 1",
                   rows[0].mRow.mReason.c_str());
    }
    Commit(actions);
    Pass(Millis(60000));
  }
  POINTERS_EQUAL(nullptr, FindJob(mShard, "bad"));
}

// Guards against a second start while a silent worker may still run the task.
TEST(Placement, SilentWorkerKeepsItsTasksUntilTheLeaseHasEnded)
{
  AddWorkers(1);
  Submit(Spec("a", 1));
  LONGS_EQUAL(1, Place().size());
  Pass(Millis(500));
  Actions actions;
  HandleTick(mShard, mNow + Millis(11000), actions);
  LONGS_EQUAL(0, Only<CommitRow>(actions).size());
  HandleTick(mShard, mNow + Millis(11001), actions);
  const auto rows = Only<CommitRow>(actions);
  LONGS_EQUAL(1, rows.size());
  LONGS_EQUAL(1, rows[0].mRow.mAttempt);
}

// Guards against a lost answer that leads to a second start although the
// first one may still be on its way.
TEST(Placement, UnansweredStartIsSettledOnlyByALateEnoughReport)
{
  AddWorkers(1);
  Submit(Spec("a", 1));
  const auto starts = Place();
  Actions actions;
  HandleStartAnswer(mShard, 0, "a", 0, StartUnknown{}, mNow, actions);
  WorkerReport report;
  report.mToken = { 1, starts[0].mToken.mClockMs + 2000 };
  HandleReport(mShard, 0, report, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Starting);
  report.mToken.mClockMs += 1;
  HandleReport(mShard, 0, report, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Recording);
}

// Guards against a takeover that starts what the predecessor started.
TEST(Placement, DoubtfulJobWaitsForEveryWorker)
{
  mShard = MakeShard({}, mPolicy, History::Possible, mNow);
  SetWorker(mShard, { "w0", "dc", "rack", kWorkerSize, false });
  SetWorker(mShard, { "w1", "dc", "rack", kWorkerSize, false });
  JobRow row;
  row.mSpec = Spec("a", 1);
  LoadJob(mShard, row, mNow);
  Actions actions;
  HandleReport(mShard, 0, Report(0), mNow, actions);
  HandleTick(mShard, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Doubtful);
  WorkerReport report = Report(1);
  TaskReport task;
  task.mJob = "a";
  task.mReserved = { 1000, 1000, 0 };
  report.mTasks.push_back(task);
  HandleReport(mShard, 1, report, mNow, actions);
  CHECK_TRUE(FindJob(mShard, "a")->mPhase == JobPhase::Running);
  LONGS_EQUAL(15000, mShard.mWorkers[1].mFree.mMilliCores);
}

// Guards against a cancelled job that restarts, and against losing the end of
// a job that had finished when the cancellation arrived.
TEST(Placement, CancellationPrecedesRestartAndAnEndPrecedesBoth)
{
  AddWorkers(1);
  Submit(Spec("stopped", 1));
  Submit(Spec("finished", 1));
  const auto starts = Place();
  Pass(Millis(500));
  Actions actions;
  CancelJob(mShard, "stopped", mNow, actions);
  CancelJob(mShard, "finished", mNow, actions);
  LONGS_EQUAL(2, Only<StopTask>(actions).size());
  WorkerReport report;
  report.mToken = { 1, ++mClock };
  report.mOutcomes = { { "stopped", 0, TaskResult::Stopped, "", "" },
                       { "finished", 0, TaskResult::Ended, "", "" } };
  actions.clear();
  HandleReport(mShard, 0, report, mNow, actions);
  const auto rows = Only<CommitRow>(actions);
  LONGS_EQUAL(2, rows.size());
  CHECK_TRUE(rows[0].mRow.mPhase == JobPhase::Cancelled);
  CHECK_TRUE(rows[1].mRow.mPhase == JobPhase::Ended);
}

// Guards against a service that waits behind batch, against evicting more or
// dearer work than needed, and against evictions beyond a team's budget.
TEST(Placement, ServiceEvictsTheBatchThatLosesLeast)
{
  AddWorkers(1);
  SetTeam(mShard, "team", {}, 1, mNow);
  Submit(Spec("old", 8));
  Submit(Spec("young", 8));
  LONGS_EQUAL(2, Place().size());
  Pass(Millis(500));
  for (TaskSlot& slot : mShard.mWorkers[0].mSlots) {
    slot.mSinceCheckpoint = Seconds(slot.mJob == "old" ? 100 : 10);
  }
  Submit(Spec("service-0", 4, TaskClass::Service));
  Actions actions;
  PlaceQueued(mShard, mNow, 10, actions);
  LONGS_EQUAL(1, Only<CheckpointTask>(actions).size());
  STRCMP_EQUAL("young", Only<CheckpointTask>(actions)[0].mJob.c_str());
  // The budget of one eviction an hour is spent.
  Submit(Spec("service-1", 8, TaskClass::Service));
  actions.clear();
  PlaceQueued(mShard, mNow, 10, actions);
  LONGS_EQUAL(0, Only<CheckpointTask>(actions).size());
}

// Guards against batch that takes the room an eviction made for a service.
TEST(Placement, RoomMadeForAServiceIsKeptForIt)
{
  AddWorkers(1);
  Submit(Spec("batch", 16));
  const auto starts = Place();
  Pass(Millis(500));
  Submit(Spec("service", 8, TaskClass::Service));
  Place();
  Submit(Spec("other", 8));
  Finish(starts[0], TaskResult::Stopped);
  // The service is not placed in this pass to show that batch waits for it.
  Job* service = FindJob(mShard, "service");
  service->mNotBefore = mNow + Seconds(1);
  LONGS_EQUAL(0, Place().size());
  service->mNotBefore = mNow;
  const auto after = Place();
  STRCMP_EQUAL("service", after.at(0).mJob.c_str());
}

// Guards against a task that declares little and uses much.
TEST(Placement, ReservationLearnsWhatATeamReallyUses)
{
  UsageModel model;
  Learn(model, { 1000, 1000, 0 }, { 100000, 1000, 0 });
  CHECK_TRUE(model.mCores <= 1.25);
  CHECK_TRUE(model.mCores > 1.2);
  for (int i = 0; i < 30; ++i) {
    Learn(model, { 1000, 1000, 0 }, { 3000, 500, 0 });
  }
  DOUBLES_EQUAL(3.0, model.mCores, 0.01);
  LONGS_EQUAL(3000, Expected(model, { 1000, 1000, 0 }).mMilliCores);
  CHECK_TRUE(model.mMemory < 1);
}

// Guards against batch that keeps slowing a service down; the steps are taken
// one by one and taken back when the service is fast again.
TEST(Placement, InterferenceIsAnsweredInSteps)
{
  AddWorkers(1);
  Submit(Spec("service", 4, TaskClass::Service));
  Submit(Spec("batch", 4));
  LONGS_EQUAL(2, Place().size());
  Pass(Millis(500));
  const auto hear = [&](double aRatio) {
    WorkerReport report = Report(0);
    report.mToken.mClockMs = ++mClock;
    for (TaskReport& task : report.mTasks) {
      task.mLatencyRatio = task.mJob == "service" ? aRatio : 0;
    }
    Actions actions;
    HandleReport(mShard, 0, report, mNow, actions);
    return actions;
  };
  hear(1.5);
  hear(1.5);
  Submit(Spec("more", 1));
  LONGS_EQUAL(0, Place().size());
  hear(1.5);
  LONGS_EQUAL(1, Only<ThrottleTask>(hear(1.5)).size());
  hear(1.5);
  LONGS_EQUAL(1, Only<CheckpointTask>(hear(1.5)).size());
  for (int i = 0; i < 20; ++i) {
    hear(0.5);
  }
  LONGS_EQUAL(1, Place().size());
}

// Guards against small jobs that keep a large one waiting for ever.
TEST(Placement, WorkerIsKeptFreeForAJobThatWaitedTooLong)
{
  AddWorkers(1);
  Submit(Spec("small", 1));
  const auto first = Place();
  Submit(Spec("large", 16));
  Pass(Millis(61000));
  LONGS_EQUAL(0, Place().size());
  Submit(Spec("next", 1));
  LONGS_EQUAL(0, Place().size());
  Finish(first[0], TaskResult::Ended);
  const auto starts = Place();
  LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("large", starts[0].mJob.c_str());
}
