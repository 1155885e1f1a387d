#include <string>

#include <LibDispatch/FencingTokens.h>
#include <LibDispatch/Internal.h>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

const std::string kTask = "job.0.0.0";

/// @return the runner with an id
const Runner&
RunnerNamed(const DispatchWorld& aWorld, const std::string& aId)
{
  return aWorld.mDispatcher.mRunners[aWorld.mDispatcher.mRunnerById.at(aId)];
}

} // namespace

TEST_GROUP(FencingTokens)
{
  DispatchWorld mWorld;
  StartTask mLost;
  std::int64_t mToken = 0; ///< Of the lost order.
  std::string mRunner;     ///< To which it went.

  /// Submits a job whose first start order is left unanswered.
  void LoseAStart()
  {
    mWorld.ListRunners(4);
    mWorld.AdvanceTime(Seconds(1));
    mWorld.mDropStarts = true;
    mWorld.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
    mWorld.mDropStarts = false;
    mLost = mWorld.mLostStarts.at(0);
    mToken = FencingTokenFor(mWorld.mDispatcher, mLost.mRunner);
    mRunner = mWorld.mDispatcher.mRunners[mLost.mRunner].mSpec.mId;
  }

  /// Carries the lost order out at the runner's present process.
  void CarryOutTheLostStart()
  {
    mWorld.CarryOutStart(mRunner,
                         { kTask, mLost.mRun },
                         mWorld.ClockOf(mWorld.mRunners[mRunner]) +
                           mWorld.mDispatcher.mSettings.mMaxLease.count(),
                         mToken);
  }
};

// Guards against a task that runs again after its end as done was acknowledged:
// a run that was stopped at a former process of its runner begins late at the
// new one, which knows nothing of the stop.
TEST(FencingTokens, ALateStartAtARestartedRunnerRunsNoDoneTask)
{
  LoseAStart();
  CHECK_TRUE(mWorld.TimeUntilRunning(kTask) < Seconds(4));
  CHECK_FALSE(mWorld.RunnerOf(kTask) == mRunner);
  mWorld.End(kTask, EndKind::Done);
  mWorld.AdvanceTime(Seconds(1));
  CHECK_TRUE(mWorld.mNotedDone.contains(kTask));
  mWorld.Restart(mRunner);
  mWorld.AdvanceTime(Seconds(1));
  CarryOutTheLostStart();
  CHECK_FALSE(mWorld.IsRunning(kTask));
}

// Guards against the same while the task works on another runner.
TEST(FencingTokens, ALateStartAtARestartedRunnerDoublesNoRunningTask)
{
  LoseAStart();
  mWorld.TimeUntilRunning(kTask);
  mWorld.Restart(mRunner);
  mWorld.AdvanceTime(Seconds(1));
  CarryOutTheLostStart();
  LONGS_EQUAL(1, mWorld.mMostRunsOfATask);
}

// Guards against a start on a process that does not reject late orders to the
// former one yet: a late renewal would make it forget the end, unread.
TEST(FencingTokens, ARestartedRunnerGetsNoTaskBeforeItHasSeenItsToken)
{
  mWorld.ListRunners(1);
  mWorld.AdvanceTime(Seconds(1));
  mWorld.mRunners["r0"].mAnswers = false;
  mWorld.Restart("r0");
  mWorld.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  CHECK_TRUE(RunnerNamed(mWorld, "r0").mTakesFormerOrders);
  LONGS_EQUAL(0, mWorld.mStarts);
  mWorld.mRunners["r0"].mAnswers = true;
  mWorld.AdvanceTime(Millis(200));
  CHECK_FALSE(RunnerNamed(mWorld, "r0").mTakesFormerOrders);
  LONGS_EQUAL(1, mWorld.mStarts);
}

// Guards against a process that counts as fenced by an answer to a renewal that
// was sent before its restart was known.
TEST(FencingTokens, TheAnswerThatTellsOfARestartDoesNotCount)
{
  mWorld.ListRunners(1);
  mWorld.AdvanceTime(Seconds(1));
  mWorld.mRunners["r0"].mIncarnation = 2;
  mWorld.Report(0);
  CHECK_TRUE(RunnerNamed(mWorld, "r0").mTakesFormerOrders);
  mWorld.Report(0);
  CHECK_FALSE(RunnerNamed(mWorld, "r0").mTakesFormerOrders);
}

// Guards against tokens of an owner that a later one does not exceed, however
// often a runner restarts, also if owners of earlier versions, which take the
// next number as their epoch, come in between.
TEST(FencingTokens, EveryTokenIsBelowThoseOfTheNextOwner)
{
  mWorld.ListRunners(1);
  for (const std::int64_t epoch : { std::int64_t(0),
                                    std::int64_t(1),
                                    std::int64_t(255),
                                    kTokensPerEpoch,
                                    kTokensPerEpoch + 1 }) {
    mWorld.mDispatcher.mEpoch = epoch;
    for (const std::int64_t restarts : { 0, 1, 254, 255, 256, 100000 }) {
      mWorld.mDispatcher.mRunners[0].mRestarts = restarts;
      const std::int64_t token = FencingTokenFor(mWorld.mDispatcher, 0);
      CHECK_COMPARE(token, >=, epoch);
      CHECK_COMPARE(token, <, NextEpoch(epoch));
    }
  }
}

// Guards against a late start order that the new process of a runner carries
// out because its `born` is lower: the host's clock was set back.
TEST(FencingTokens, ALateStartAtARunnerWithALowerIncarnationRunsNoDoneTask)
{
  LoseAStart();
  CHECK_TRUE(mWorld.TimeUntilRunning(kTask) < Seconds(4));
  CHECK_FALSE(mWorld.RunnerOf(kTask) == mRunner);
  mWorld.End(kTask, EndKind::Done);
  mWorld.AdvanceTime(Seconds(1));
  CHECK_TRUE(mWorld.mNotedDone.contains(kTask));
  DispatchWorld::FakeRunner& runner = mWorld.mRunners[mRunner];
  runner.mRunning.clear();
  runner.mEnds.clear();
  runner.mStopped.clear();
  runner.mNextEnd = 1;
  runner.mLeaseEndMs = 0;
  runner.mFencingToken = 0;
  runner.mIncarnation = 0;
  mWorld.AdvanceTime(Seconds(5));
  CHECK_TRUE(runner.mStopped.empty());
  CarryOutTheLostStart();
  CHECK_FALSE(mWorld.IsRunning(kTask));
}

// Guards against a task that starts elsewhere while the new process of a
// runner, which answers nothing, may still carry out a late start order.
TEST(FencingTokens, ALateStartAtARestartedRunnerThatAnswersNothingDoublesNoTask)
{
  mWorld.ListRunners(4);
  mWorld.AdvanceTime(Seconds(1));
  for (auto& [id, runner] : mWorld.mRunners) {
    runner.mAnswers = false;
  }
  const MonotonicTime sentAt = mWorld.mNow;
  mWorld.AddJob(MakeJob("job", { FiniteStep(1, 1000) }));
  mLost = mWorld.mLostStarts.at(0);
  mToken = FencingTokenFor(mWorld.mDispatcher, mLost.mRunner);
  mRunner = mWorld.mDispatcher.mRunners[mLost.mRunner].mSpec.mId;
  for (auto& [id, runner] : mWorld.mRunners) {
    runner.mAnswers = id != mRunner;
  }
  mWorld.AdvanceTime(Millis(500));
  mWorld.Restart(mRunner);
  mWorld.TimeUntilRunning(kTask, Seconds(40));
  if (mWorld.mNow - sentAt < Seconds(12)) {
    CarryOutTheLostStart();
  }
  LONGS_EQUAL(1, mWorld.mMostRunsOfATask);
}

// Guards against a stop that a former process has answered and that settles a
// run at the new one, which has not seen its token.
TEST(FencingTokens, AStopAnsweredByAFormerProcessSettlesNothing)
{
  LoseAStart();
  DispatchWorld::FakeRunner& runner = mWorld.mRunners[mRunner];
  CHECK_FALSE(runner.mStopped.empty());
  mWorld.mNow += Millis(50);
  runner.mStopped.clear();
  runner.mFencingToken = 0;
  runner.mIncarnation = 2;
  mWorld.Report(mLost.mRunner);
  CHECK_TRUE(RunnerNamed(mWorld, mRunner).mTakesFormerOrders);
  // The new process has been told to stop the run as well, and no report since
  // shows that it has done so.
  CHECK_FALSE(runner.mStopped.empty());
  runner.mAnswers = false;
  CHECK_TRUE(mWorld.TimeUntilRunning(kTask, Seconds(5)) == Seconds(5));
}

// Guards against a task that starts elsewhere while it runs at a new process
// that its owner has not heard of: the order states an end on the clock of the
// former one, so that the deployment's longest lease applies.
TEST(FencingTokens, AStartAtAnUnknownProcessHasTheLongestAllowedLease)
{
  mWorld.mDispatcher.mSettings.mMaxLease = Millis(10000);
  mWorld.ListRunners(4);
  mWorld.AdvanceTime(Seconds(1));
  mWorld.AddJob(MakeJob("job", { LongRunningStep(1, 1000) }));
  mRunner = mWorld.RunnerOf(kTask);
  DispatchWorld::FakeRunner& runner = mWorld.mRunners[mRunner];
  runner.mIncarnation = 2;
  runner.mLeaseEndMs = mWorld.ClockOf(runner) + 10000;
  runner.mAnswers = false;
  mWorld.AdvanceTime(Millis(9500));
  LONGS_EQUAL(1, mWorld.mMostRunsOfATask);
}
