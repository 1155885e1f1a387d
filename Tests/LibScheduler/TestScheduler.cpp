#include "SchedulerFixture.h"

#include <thread>

#include <LibScheduler/JobRows.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::test;

namespace {

Json::Value
Named(const std::string& aJob)
{
  Json::Value parameters(Json::objectValue);
  parameters["job"] = aJob;
  return parameters;
}

std::string
StateOf(TestProcess& aProcess, const std::string& aJob)
{
  const auto status =
    TestDeployment::Call(aProcess, "scheduler.status", Named(aJob));
  return Succeeded(status) ? ValueOf(status)["state"].asString()
                           : ErrorOf(status).mMessage;
}

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

// Guards against accepted jobs that do not run, run twice, or are reported in
// another state than the table holds.
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

// Guards against a repeated submit that runs a job a second time, at the same
// scheduler, at another one, and after the job's end.
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

// Guards against a job that is accepted although no worker could hold it.
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

// Guards against an acceptance that is answered although it was not written.
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

// Guards against commits whose answer was lost and that are taken for another
// job's, or written twice.
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

// Guards against a cancelled job that runs on or runs again.
TEST(Scheduler, CancelsRunningAndWaitingJobs)
{
  TestDeployment deployment(1, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23007);
  CHECK_TRUE(SubmitUntilAccepted(process, "running", 4, 600));
  CHECK_TRUE(Reaches(process, "running", "running"));
  CHECK_TRUE(SubmitUntilAccepted(process, "waiting", 4, 600));
  // The waiting one first, since the room of the other would start it.
  for (const char* job : { "waiting", "running" }) {
    CHECK_TRUE(
      Succeeded(TestDeployment::Call(process, "scheduler.cancel", Named(job))));
    CHECK_TRUE(Reaches(process, job, "cancelled"));
  }
  const Json::Value stats = deployment.Stats();
  LONGS_EQUAL(0, stats["running"].asInt());
  LONGS_EQUAL(1, stats["starts"].asInt());
}

// Guards against a takeover that starts running tasks again or forgets
// waiting ones.
TEST(Scheduler, TakesOverRunningAndWaitingJobs)
{
  TestDeployment deployment(2, "learned");
  TestProcess& first = deployment.StartProcess("s1", 23008);
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(first, "job-" + std::to_string(i), 2, 2));
  }
  CHECK_TRUE(Reaches(first, "job-0", "running"));
  TestProcess& second = deployment.StartProcess("s2", 23009);
  deployment.Give(second, Acquisition::Takeover);
  deployment.Kill(first);
  for (int i = 0; i < 8; ++i) {
    CHECK_TRUE(Reaches(second, "job-" + std::to_string(i), "ended"));
  }
  deployment.CheckGuarantees();
}

// Guards against a former owner that still commands workers or writes rows
// after another process has taken over.
TEST(Scheduler, FormerOwnerStartsAndWritesNothing)
{
  TestDeployment deployment(2, "learned");
  TestProcess& first = deployment.StartProcess("s1", 23010);
  TestProcess& second = deployment.StartProcess("s2", 23011);
  for (int i = 0; i < 6; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(first, "job-" + std::to_string(i), 2, 1));
  }
  deployment.Give(second, Acquisition::Takeover);
  for (int i = 6; i < 12; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(first, "job-" + std::to_string(i), 2, 1));
  }
  for (int i = 0; i < 12; ++i) {
    CHECK_TRUE(Reaches(second, "job-" + std::to_string(i), "ended"));
  }
  deployment.CheckGuarantees();
}

// Guards against starts in a data centre that operators have taken out, and
// against tasks that stay there.
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

// Guards against workers that fail, lose answers or are silent, and jobs that
// are lost or run twice because of them.
TEST(Scheduler, FinishesJobsDespiteFaultyWorkers)
{
  TestDeployment deployment(8, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23013);
  Json::Value fault(Json::objectValue);
  fault["worker"] = "w0";
  fault["failAll"] = true;
  deployment.Fault(fault);
  Json::Value lose(Json::objectValue);
  lose["worker"] = "w1";
  lose["loseAnswers"] = 6;
  deployment.Fault(lose);
  Json::Value silent(Json::objectValue);
  silent["worker"] = "w2";
  silent["silentMs"] = 4000;
  deployment.Fault(silent);
  for (int i = 0; i < 30; ++i) {
    CHECK_TRUE(SubmitUntilAccepted(process, "job-" + std::to_string(i)));
  }
  for (int i = 0; i < 30; ++i) {
    CHECK_TRUE(Reaches(process, "job-" + std::to_string(i), "ended"));
  }
  CHECK_TRUE(deployment.Stats()["failed"].asInt() > 0);
  deployment.CheckGuarantees();
}

// Guards against services that do not get their tasks, keep too many, or wait
// behind batch.
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

// Guards against a job that waits in a full shard while another has room.
TEST(Scheduler, MovesAWaitingJobToAShardWithRoom)
{
  TestDeployment deployment(4, "learned");
  TestProcess& process = deployment.StartProcess("s1", 23015);
  CHECK_TRUE(SubmitUntilAccepted(process, "job", 4, 600));
  CHECK_TRUE(Reaches(process, "job", "running"));
  const std::string shard = ValueOf(TestDeployment::Call(
    process, "scheduler.status", Named("job")))["shard"]
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

// Guards against rows that lose part of a job between two owners.
TEST(Scheduler, JobRowKeepsEverything)
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
