#include "SchedulerFixture.h"

#include <thread>

#include <LibScheduler/JobRows.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::test;

namespace {

/// @return parameters of scheduler.cancel, scheduler.status and
///         scheduler.explain
Json::Value
JobParameters(const std::string& aJob)
{
  Json::Value parameters(Json::objectValue);
  parameters["job"] = aJob;
  return parameters;
}

/// @return the job's state by scheduler.status, or the error's message
std::string
StateOf(TestProcess& aProcess, const std::string& aJob)
{
  const auto status =
    TestDeployment::Call(aProcess, "scheduler.status", JobParameters(aJob));
  return Succeeded(status) ? ValueOf(status)["state"].asString()
                           : ErrorOf(status).mMessage;
}

/// Repeats the submit until it succeeds, because the scheduler accepts nothing
/// before it has read the host list and its shards' rows.
/// @return whether the job was accepted
bool
SubmitUntilAccepted(TestProcess& aProcess,
                    const std::string& aJob,
                    int aCores = 1,
                    int aSeconds = 1)
{
  return TestDeployment::Eventually([&] {
    return Succeeded(TestDeployment::Submit(aProcess, aJob, aCores, aSeconds));
  });
}

/// @return whether the job reached the state in time
bool
Reaches(TestProcess& aProcess,
        const std::string& aJob,
        const std::string& aState)
{
  return TestDeployment::Eventually(
    [&] { return StateOf(aProcess, aJob) == aState; });
}

} // namespace

TEST_GROUP(Scheduler){};

// Guards against accepted jobs that do not run, run twice, or are reported as
// ended while their rows remain in the table.
TEST(Scheduler, RunsEachAcceptedJobOnce)
{
  TestDeployment deployment(4, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23001);
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(process, "job-" + std::to_string(i)));
  }
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(Reaches(process, "job-" + std::to_string(i), "ended"));
  }
  LONGS_EQUAL(20, deployment.Stats()["starts"].asInt());
  LONGS_EQUAL(0, deployment.mTable.Scan("job/").size());
  deployment.CheckGuarantees();
}

// Guards against a submit that runs a job a second time when it is repeated at
// another scheduler, or at the same one after the job's end.
TEST(Scheduler, RecognisesRepeatedSubmit)
{
  TestDeployment deployment(4, "learned");
  TestProcess& first = deployment.StartProcess("s1", 23002);
  TestProcess& second = deployment.StartProcess("s2", 23003);
  CHECK_TRUE(SubmitUntilAccepted(first, "job"));
  const auto again = TestDeployment::Submit(second, "job");
  CHECK_TRUE(Succeeded(again));
  CHECK_TRUE(ValueOf(again)["repeated"].asBool());
  CHECK_TRUE(Reaches(second, "job", "ended"));
  const auto late = TestDeployment::Submit(first, "job");
  CHECK_TRUE(Succeeded(late));
  CHECK_TRUE(ValueOf(late)["repeated"].asBool());
  LONGS_EQUAL(1, deployment.Stats()["starts"].asInt());
  deployment.CheckGuarantees();
}

// Guards against accepting a job that is too large for every worker, which
// would wait for ever.
TEST(Scheduler, RefusesJobThatNoWorkerCouldHold)
{
  TestDeployment deployment(2, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23004);
  CHECK_TRUE(SubmitUntilAccepted(process, "fits", 4));
  const auto answer = TestDeployment::Submit(process, "large", 5);
  CHECK_FALSE(Succeeded(answer));
  CHECK_TRUE(ErrorOf(answer).mKind == ErrorKind::InvalidInput);
  CHECK_TRUE(ErrorOf(answer).mMessage.find("4.000000 cores") !=
             std::string::npos);
}

// Guards against answering a submit as accepted while the table service is down
// and the job can't be written.
TEST(Scheduler, AcceptsNothingWhileTheTableIsDown)
{
  TestDeployment deployment(2, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23005);
  CHECK_TRUE(SubmitUntilAccepted(process, "before"));
  deployment.mFaults.SetOutage(true);
  CHECK_FALSE(Succeeded(TestDeployment::Submit(process, "during")));
  deployment.mFaults.SetOutage(false);
  CHECK_TRUE(SubmitUntilAccepted(process, "during"));
  CHECK_TRUE(Reaches(process, "during", "ended"));
  deployment.CheckGuarantees();
}

// Guards against a commit that is reported as another caller's job, or starts a
// job twice, because the answer of the table service was lost and the commit
// was repeated.
TEST(Scheduler, SurvivesLostAnswersOfTheTable)
{
  TestDeployment deployment(2, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23006);
  CHECK_TRUE(SubmitUntilAccepted(process, "a"));
  deployment.mFaults.LoseAnswers(3);
  CHECK_TRUE(SubmitUntilAccepted(process, "b"));
  CHECK_TRUE(Reaches(process, "a", "ended"));
  CHECK_TRUE(Reaches(process, "b", "ended"));
  LONGS_EQUAL(2, deployment.Stats()["starts"].asInt());
  deployment.CheckGuarantees();
}

// Guards against a cancelled job that continues to run, or that starts after it
// was cancelled.
TEST(Scheduler, CancelsRunningAndWaitingJobs)
{
  TestDeployment deployment(1, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23007);
  CHECK_TRUE(SubmitUntilAccepted(process, "running", 4, 600));
  CHECK_TRUE(Reaches(process, "running", "running"));
  CHECK_TRUE(SubmitUntilAccepted(process, "waiting", 4, 600));
  // The waiting job is cancelled first: otherwise it would start as soon as the
  // other one has stopped.
  for (const char* job : { "waiting", "running" }) {
    CHECK_TRUE(Succeeded(
      TestDeployment::Call(process, "scheduler.cancel", JobParameters(job))));
    CHECK_TRUE(Reaches(process, job, "cancelled"));
  }
  const Json::Value stats = deployment.Stats();
  LONGS_EQUAL(0, stats["running"].asInt());
  LONGS_EQUAL(1, stats["starts"].asInt());
}

// Guards against a takeover after which running jobs are started a second time
// or waiting jobs are lost.
TEST(Scheduler, TakesOverRunningAndWaitingJobs)
{
  TestDeployment deployment(2, "learned");
  TestProcess& first = deployment.StartProcess("s1", 23008);
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(first, "job-" + std::to_string(i), 2, 2));
  }
  CHECK_TRUE(Reaches(first, "job-0", "running"));
  TestProcess& second = deployment.StartProcess("s2", 23009);
  deployment.GiveAllShards(second, Acquisition::Takeover);
  deployment.Kill(first);
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(Reaches(second, "job-" + std::to_string(i), "ended"));
  }
  deployment.CheckGuarantees();
}

// Guards against a former owner that still sends commands to workers or writes
// rows after another process has taken the shards over.
TEST(Scheduler, FormerOwnerStartsAndWritesNothing)
{
  TestDeployment deployment(2, "learned");
  TestProcess& first = deployment.StartProcess("s1", 23010);
  TestProcess& second = deployment.StartProcess("s2", 23011);
  for (int i = 0; i < 6; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(first, "job-" + std::to_string(i), 2, 1));
  }
  deployment.GiveAllShards(second, Acquisition::Takeover);
  for (int i = 6; i < 12; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(first, "job-" + std::to_string(i), 2, 1));
  }
  for (int i = 0; i < 12; ++i) {
    CHECK_TRUE(Reaches(second, "job-" + std::to_string(i), "ended"));
  }
  deployment.CheckGuarantees();
}

// Guards against starts in a data centre that operators have taken out of
// service, and against tasks that are not moved out of it with their
// checkpoints.
TEST(Scheduler, MovesWorkOutOfADataCentre)
{
  TestDeployment deployment(4, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23012);
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(process, "job-" + std::to_string(i), 1, 3));
  }
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(Reaches(process, "job-" + std::to_string(i), "running"));
  }
  deployment.SetDataCentreState("dc-1", DataCentreState::Out);
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(Reaches(process, "job-" + std::to_string(i), "ended"));
  }
  const Json::Value stats = deployment.Stats();
  CHECK_TRUE(stats["stopped"].asInt() > 0);
  for (const Json::Value& starts : stats["jobs"]) {
    const Json::Value& last = starts[starts.size() - 1];
    CHECK_TRUE(starts.size() == 1 || !last["checkpoint"].asString().empty());
    CHECK_TRUE(starts.size() == 1 || last["worker"].asString() == "w1" ||
               last["worker"].asString() == "w3");
  }
  deployment.CheckGuarantees();
}

// Guards against jobs that are lost or run twice because workers fail all
// tasks, lose answers or do not answer for some seconds.
TEST(Scheduler, FinishesJobsDespiteFaultyWorkers)
{
  TestDeployment deployment(8, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23013);
  Json::Value fault(Json::objectValue);
  fault["worker"] = "w0";
  fault["failAll"] = true;
  deployment.InjectFault(fault);
  Json::Value lose(Json::objectValue);
  lose["worker"] = "w1";
  lose["loseAnswers"] = 6;
  deployment.InjectFault(lose);
  Json::Value silent(Json::objectValue);
  silent["worker"] = "w2";
  silent["silentMs"] = 4000;
  deployment.InjectFault(silent);
  for (int i = 0; i < 30; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(process, "job-" + std::to_string(i)));
  }
  for (int i = 0; i < 30; ++i) {
    CHECK_TRUE(Reaches(process, "job-" + std::to_string(i), "ended"));
  }
  CHECK_TRUE(deployment.Stats()["failed"].asInt() > 0);
  deployment.CheckGuarantees();
}

// Guards against service tasks that wait behind batch jobs, that run on after
// the service document dropped them, or that do not start when it asks for them
// again.
TEST(Scheduler, KeepsTheTasksOfAServiceRunning)
{
  TestDeployment deployment(2, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23014);
  CHECK_TRUE(SubmitUntilAccepted(process, "batch-0", 4, 600));
  CHECK_TRUE(SubmitUntilAccepted(process, "batch-1", 4, 600));
  CHECK_TRUE(Reaches(process, "batch-0", "running"));
  CHECK_TRUE(Reaches(process, "batch-1", "running"));
  ServiceDocument service;
  service.mService = "desk";
  service.mTeam = "desk-team";
  service.mTasks.push_back({ "front", 1, { 2, 500, 0 } });
  deployment.SetService(service);
  CHECK_TRUE(Reaches(process, "service.desk.front.0", "running"));
  LONGS_EQUAL(1, deployment.Stats()["stopped"].asInt());
  service.mTasks[0].mCount = 0;
  deployment.SetService(service);
  CHECK_TRUE(Reaches(process, "service.desk.front.0", "cancelled"));
  service.mTasks[0].mCount = 1;
  deployment.SetService(service);
  CHECK_TRUE(Reaches(process, "service.desk.front.0", "running"));
  deployment.CheckGuarantees();
}

// Guards against a job that waits in a full shard although another shard has
// enough free capacity.
TEST(Scheduler, MovesAWaitingJobToAShardWithRoom)
{
  TestDeployment deployment(4, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23015);
  CHECK_TRUE(SubmitUntilAccepted(process, "job", 4, 600));
  CHECK_TRUE(Reaches(process, "job", "running"));
  const std::string shard = ValueOf(TestDeployment::Call(
    process, "scheduler.status", JobParameters("job")))["shard"]
                              .asString();
  Json::Value document(Json::objectValue);
  document["shard"] = shard;
  for (int i = 0; i < 3; ++i) {
    document["text"] = R"({"job": "more-)" + std::to_string(i) +
                       R"(", "team": "t", "expectedSeconds": 600,)"
                       R"( "size": {"cores": 4, "memoryMb": 500}})";
    CHECK_TRUE(
      Succeeded(TestDeployment::Call(process, "scheduler.submit", document)));
  }
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(Reaches(process, "more-" + std::to_string(i), "running"));
  }
  deployment.CheckGuarantees();
}

// Guards against a field of a job that the next owner of the shard does not get
// because the job's row lacks it, and against malformed rows taken for jobs.
TEST(Scheduler, JobRowRoundTripKeepsEveryField)
{
  JobRow row;
  row.mSpec.mJob = "job";
  row.mSpec.mTeam = "team";
  row.mSpec.mClass = TaskClass::Urgent;
  row.mSpec.mDeclared = { 1500, 2000, 1 };
  row.mSpec.mExpectedTime = Seconds(7);
  row.mSpec.mDataCentres = { "a", "b" };
  row.mAttempt = 3;
  row.mCheckpoint = "job@100";
  row.mCheckpointAttempt = 2;
  row.mCancelRequested = true;
  const auto read = ParseJobRow(JobRowText(row));
  CHECK_TRUE(Succeeded(read));
  const JobRow& copy = ValueOf(read);
  STRCMP_EQUAL(JobRowText(row).c_str(), JobRowText(copy).c_str());
  CHECK_TRUE(copy.mSpec.mDeclared == row.mSpec.mDeclared);
  LONGS_EQUAL(3, copy.mAttempt);
  LONGS_EQUAL(2, copy.mCheckpointAttempt);
  CHECK_TRUE(copy.mCancelRequested);
  CHECK_FALSE(Succeeded(ParseJobRow(R"({"job": {}})")));
}
