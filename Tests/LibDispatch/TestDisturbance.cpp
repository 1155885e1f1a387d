#include <algorithm>
#include <string>

#include "DispatchWorld.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;
using namespace paddle::dispatch;

namespace {

/// Tails in milliseconds of a serving task at rest, and beside a neighbour that
/// disturbs it. The target is 18 ms.
constexpr std::int32_t kRestingTail = 7;
constexpr std::int32_t kDisturbedTail = 60;

bool
StartsWith(const DispatchWorld::Run& aRun, const char* aJob)
{
  return aRun.mTask.starts_with(aJob);
}

} // namespace

TEST_GROUP(Disturbance)
{
  DispatchWorld mWorld;

  /// Two runners, each full of one serving image; tasks of the jobs "loud..."
  /// disturb the image of the job "first" only.
  void Begin()
  {
    StepSpec first = LastingStep(2, 7000);
    first.mImage = "first-image";
    StepSpec second = LastingStep(2, 7000);
    second.mImage = "second-image";
    mWorld.mFigure = [](const DispatchWorld::FakeRunner& aRunner,
                        const DispatchWorld::Run& aRun) -> std::int32_t {
      const bool loud = std::any_of(aRunner.mRunning.begin(),
                                    aRunner.mRunning.end(),
                                    [](const DispatchWorld::Run& aOther) {
                                      return StartsWith(aOther, "loud");
                                    });
      if (StartsWith(aRun, "first")) {
        return loud ? kDisturbedTail : kRestingTail;
      }
      return StartsWith(aRun, "second") ? kRestingTail : 2000;
    };
    mWorld.ListRunners(2);
    mWorld.AddJob(MakeJob("first", { first }));
    mWorld.AddJob(MakeJob("second", { second }));
    mWorld.Pass(Seconds(4));
  }
};

// Guards against mixed serving images: each runner takes one of them where
// there is room, so that a disturbing image still finds places.
TEST(Disturbance, KeepsServingImagesApart)
{
  Begin();
  STRCMP_EQUAL(mWorld.RunnerOf("first.0.0.0").c_str(),
               mWorld.RunnerOf("first.0.0.1").c_str());
  CHECK_TRUE(mWorld.RunnerOf("first.0.0.0") != mWorld.RunnerOf("second.0.0.0"));
}

// The load of a calm day on prensa-comun: an image disturbs one serving image
// and not another. Guards against slowing it down everywhere, and against
// putting it where it disturbs again and again.
TEST(Disturbance, LearnsWhichImageDisturbsWhich)
{
  Begin();
  for (int i = 0; i < 12; ++i) {
    const std::string job = "loud" + std::to_string(i);
    mWorld.AddJob(MakeJob(job, { LeftoverStep(1, 2000, "loud-image") }));
    mWorld.Pass(Seconds(2));
    mWorld.End(job + ".0.0.0", EndKind::Done);
    mWorld.Pass(Millis(200));
  }
  const std::string quiet = mWorld.RunnerOf("second.0.0.0");
  for (int i = 12; i < 16; ++i) {
    const std::string job = "loud" + std::to_string(i);
    mWorld.AddJob(MakeJob(job, { LeftoverStep(1, 2000, "loud-image") }));
    mWorld.Pass(Millis(500));
    STRCMP_EQUAL(quiet.c_str(), mWorld.RunnerOf(job + ".0.0.0").c_str());
    mWorld.End(job + ".0.0.0", EndKind::Done);
    mWorld.Pass(Millis(200));
  }
}

// Guards against a serving task that stays over its target for four seconds
// while what disturbs it works on.
TEST(Disturbance, ActsBeforeAServingTaskIsHarmed)
{
  Begin();
  mWorld.AddJob(MakeJob("loud", { LeftoverStep(1, 2000, "loud-image") }));
  if (mWorld.RunnerOf("loud.0.0.0") != mWorld.RunnerOf("first.0.0.0")) {
    // It went where it disturbs nothing; there is nothing to act on.
    return;
  }
  mWorld.Pass(Seconds(3));
  const bool halted =
    std::any_of(mWorld.mPaceOrders.begin(),
                mWorld.mPaceOrders.end(),
                [](const PaceTask& aPace) { return aPace.mPercent <= 50; });
  CHECK_TRUE(halted ||
             mWorld.RunnerOf("loud.0.0.0") != mWorld.RunnerOf("first.0.0.0"));
}

// Guards against tasks that stay halted for good after a takeover: the new
// owner does not know at which pace they run (prensa-comun scale-1).
TEST(Disturbance, StatesThePaceOfAdoptedTasks)
{
  Begin();
  mWorld.AddJob(MakeJob("idle", { LeftoverStep(1, 2000, "idle-image") }));
  mWorld.Pass(Millis(500));
  mWorld.TakeOver(2);
  mWorld.mPaceOrders.clear();
  mWorld.Pass(Seconds(3));
  CHECK_TRUE(
    std::any_of(mWorld.mPaceOrders.begin(),
                mWorld.mPaceOrders.end(),
                [](const PaceTask& aPace) { return aPace.mPercent == 100; }));
}
