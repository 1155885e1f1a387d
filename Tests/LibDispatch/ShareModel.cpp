#include "ShareModel.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <random>

#include <LibDispatch/AccountShares.h>

namespace paddle::dispatch {

namespace {

constexpr double kStepS = 0.05;
constexpr Resources kRunnerCapacity{ 16000, 64000, 0 };
constexpr std::array<double, 20> kWeights = { 24, 24, 12,  12,  12,  6,  6,
                                              6,  6,  6,   3,   3,   3,  3,
                                              3,  3,  1.5, 1.5, 1.5, 1.5 };
constexpr std::size_t kHotAccount = 0;
/// Part of its demand that a best-effort task must find unused.
constexpr double kMinUnusedShare = 0.7;
constexpr std::size_t kMaxStartsPerPass = 64;
/// One runner in this many, and at least one, takes no surplus while a job
/// within the entitlement fits nowhere.
constexpr std::size_t kRunnersPerHeldRunner = 8;

struct ModelJob
{
  std::size_t mAccount = 0;
  bool mLarge = false; ///< Best-effort and of the lower priority.
  bool mSurplus = false;
  double mArrivedS = 0;
  double mLeftS = 0; ///< Duration at full speed that is left.
  double mEstimateS = 0;
  std::size_t mRunner = 0;

  [[nodiscard]] Resources Demand() const
  {
    return mLarge ? Resources{ 8000, 16000, 0 } : Resources{ 1000, 1000, 0 };
  }
};

struct ModelRunner
{
  Resources mReserved;
  std::int64_t mBestEffort = 0;
  std::int64_t mEntitledBestEffort = 0;
  bool mHeld = false;

  /// @return the processors that reserved tasks leave
  [[nodiscard]] std::int64_t Usable() const
  {
    return kRunnerCapacity.mMilliCores - mReserved.mMilliCores;
  }
  [[nodiscard]] std::int64_t Unused() const { return Usable() - mBestEffort; }
};

struct Model
{
  SharePolicy mPolicy = SharePolicy::None;
  std::vector<ModelJob> mJobs; ///< In the order of their arrival.
  std::vector<std::size_t> mWaiting;
  std::vector<std::size_t> mRunning;
  std::vector<ModelRunner> mRunners;
  std::array<AccountUse, kWeights.size()> mUse{};
  std::array<double, kWeights.size()> mFinishTags{};
  double mVirtualTime = 0;
};

/// State of a placement pass.
struct Pass
{
  std::vector<std::size_t> mStarted;
  bool mSmallFull = false; ///< Whether no small job fits.
  bool mLargeFull = false;

  [[nodiscard]] bool Done() const
  {
    return mStarted.size() >= kMaxStartsPerPass || (mSmallFull && mLargeFull);
  }
  [[nodiscard]] bool FullFor(const ModelJob& aJob) const
  {
    return aJob.mLarge ? mLargeFull : mSmallFull;
  }
};

double
Uniform(std::mt19937_64& aRandom)
{
  return static_cast<double>(aRandom() >> 11) * 0x1p-53;
}

std::vector<ModelJob>
MakeJobs(const ShareLoad& aLoad)
{
  std::vector<ModelJob> jobs;
  const auto hotBegin = static_cast<double>(aLoad.mWarmUp.count());
  const double hotEnd = hotBegin + static_cast<double>(aLoad.mHotTime.count());
  const double end = hotEnd + static_cast<double>(aLoad.mAfter.count());
  for (std::size_t account = 0; account < kWeights.size(); ++account) {
    std::mt19937_64 random(aLoad.mSeed * 1000 + account);
    Entitlement entitlement;
    double at = 0;
    while (true) {
      const bool hot = account == kHotAccount && at >= hotBegin && at < hotEnd;
      const double rate =
        kWeights[account] * aLoad.mUsualRate * (hot ? aLoad.mHotFactor : 1);
      at += -std::log(1 - Uniform(random)) / rate;
      if (at >= end) {
        break;
      }
      ModelJob job;
      job.mAccount = account;
      job.mLarge = Uniform(random) < 0.01;
      job.mLeftS = (job.mLarge ? 4 : 1) * (0.5 + Uniform(random));
      job.mEstimateS = job.mLeftS * (Uniform(random) < 0.5 ? 0.5 : 1.5);
      job.mArrivedS = at;
      job.mSurplus =
        !TakeToken(entitlement,
                   kWeights[account],
                   MonotonicTime(Micros(static_cast<std::int64_t>(at * 1e6))));
      jobs.push_back(job);
    }
  }
  std::sort(jobs.begin(),
            jobs.end(),
            [](const ModelJob& aFirst, const ModelJob& aSecond) {
              return aFirst.mArrivedS < aSecond.mArrivedS;
            });
  return jobs;
}

/// Adds the demand of a job to what is in use, or takes it away.
void
Count(Model& aModel, const ModelJob& aJob, int aSign)
{
  ModelRunner& runner = aModel.mRunners[aJob.mRunner];
  AccountUse& use = aModel.mUse[aJob.mAccount];
  const Resources demand = aJob.Demand();
  const Resources reserved{ aJob.mLarge ? 0 : aSign * demand.mMilliCores,
                            aSign * demand.mMemoryMb,
                            0 };
  const std::int64_t bestEffort = aJob.mLarge ? aSign * demand.mMilliCores : 0;
  runner.mReserved += reserved;
  runner.mBestEffort += bestEffort;
  runner.mEntitledBestEffort += aJob.mSurplus ? 0 : bestEffort;
  use.mReserved += reserved;
  use.mBestEffortMilliCores += bestEffort;
}

bool
Fits(const Model& aModel, const ModelRunner& aRunner, const ModelJob& aJob)
{
  const Resources demand = aJob.Demand();
  if (aRunner.mReserved.mMemoryMb + demand.mMemoryMb >
      kRunnerCapacity.mMemoryMb) {
    return false;
  }
  if (aModel.mPolicy == SharePolicy::Entitlement && aJob.mSurplus &&
      (aRunner.mHeld ||
       (!aJob.mLarge &&
        aRunner.Usable() - aRunner.mEntitledBestEffort < demand.mMilliCores))) {
    return false;
  }
  return aJob.mLarge
           ? static_cast<double>(aRunner.Unused()) >=
               static_cast<double>(demand.mMilliCores) * kMinUnusedShare
           : aRunner.Usable() >= demand.mMilliCores;
}

/// Starts a job, if there is room. Reserved tasks fill up runners, best-effort
/// ones are spread.
bool
Start(Model& aModel, std::size_t aJob, Pass& aPass)
{
  ModelJob& job = aModel.mJobs[aJob];
  std::optional<std::size_t> best;
  std::int64_t bestCost = 0;
  for (std::size_t i = 0; i < aModel.mRunners.size(); ++i) {
    const ModelRunner& runner = aModel.mRunners[i];
    const std::int64_t cost = job.mLarge ? -runner.Unused() : runner.Usable();
    if (Fits(aModel, runner, job) && (!best || cost < bestCost)) {
      best = i;
      bestCost = cost;
    }
  }
  if (!best) {
    (job.mLarge ? aPass.mLargeFull : aPass.mSmallFull) = true;
    return false;
  }
  job.mRunner = *best;
  Count(aModel, job, 1);
  aModel.mRunning.push_back(aJob);
  aPass.mStarted.push_back(aJob);
  return true;
}

/// Lets the running jobs go on for a step. Best-effort ones share what the
/// others on their runner leave.
void
Run(Model& aModel, const ShareLoad& aLoad, double aNowS, ShareTimes& aTimes)
{
  std::erase_if(aModel.mRunning, [&](std::size_t aIndex) {
    ModelJob& job = aModel.mJobs[aIndex];
    const ModelRunner& runner = aModel.mRunners[job.mRunner];
    const double speed = job.mLarge
                           ? std::min(1.0,
                                      static_cast<double>(runner.Usable()) /
                                        static_cast<double>(runner.mBestEffort))
                           : 1;
    job.mLeftS -= speed * kStepS;
    if (job.mLeftS > 0) {
      return false;
    }
    Count(aModel, job, -1);
    if (job.mArrivedS >= static_cast<double>(aLoad.mWarmUp.count())) {
      const ShareGroup group =
        job.mAccount != kHotAccount
          ? (job.mLarge ? ShareGroup::OtherLarge : ShareGroup::OtherSmall)
          : (job.mSurplus ? ShareGroup::HotSurplus : ShareGroup::HotEntitled);
      aTimes[group].push_back(aNowS - job.mArrivedS);
    }
    return true;
  });
}

/// Places jobs in the order given.
void
PlaceInOrder(Model& aModel, const std::vector<std::size_t>& aJobs, Pass& aPass)
{
  for (const std::size_t index : aJobs) {
    if (aPass.Done()) {
      return;
    }
    if (!aPass.FullFor(aModel.mJobs[index])) {
      Start(aModel, index, aPass);
    }
  }
}

/// Places jobs of the account that is next by the policy, those of an account
/// in the order given.
void
PlaceByAccount(Model& aModel,
               const std::vector<std::size_t>& aJobs,
               Pass& aPass)
{
  std::array<std::vector<std::size_t>, kWeights.size()> queues;
  for (auto job = aJobs.rbegin(); job != aJobs.rend(); ++job) {
    queues[aModel.mJobs[*job].mAccount].push_back(*job);
  }
  ShareTotals totals;
  for (const ModelRunner& runner : aModel.mRunners) {
    totals.mReserved += kRunnerCapacity;
    totals.mBestEffortMilliCores +=
      std::max(runner.mBestEffort, runner.Usable());
  }
  const bool byTags = aModel.mPolicy == SharePolicy::FairQueueing;
  while (!aPass.Done()) {
    std::optional<std::size_t> best;
    double bestKey = 0;
    for (std::size_t account = 0; account < queues.size(); ++account) {
      std::vector<std::size_t>& queue = queues[account];
      while (!queue.empty() && aPass.FullFor(aModel.mJobs[queue.back()])) {
        queue.pop_back();
      }
      const double key =
        byTags
          ? std::max(aModel.mVirtualTime, aModel.mFinishTags[account])
          : DominantShare(aModel.mUse[account], totals) / kWeights[account];
      if (!queue.empty() && (!best || key < bestKey)) {
        best = account;
        bestKey = key;
      }
    }
    if (!best) {
      return;
    }
    const std::size_t index = queues[*best].back();
    queues[*best].pop_back();
    if (Start(aModel, index, aPass) && byTags) {
      const ModelJob& job = aModel.mJobs[index];
      aModel.mVirtualTime = bestKey;
      aModel.mFinishTags[*best] =
        bestKey + job.mEstimateS *
                    static_cast<double>(job.Demand().mMilliCores) /
                    kWeights[*best];
    }
  }
}

/// Keeps surplus jobs off some runners, if a large job within the entitlement
/// fits nowhere.
void
HoldRunners(Model& aModel,
            const std::vector<std::size_t>& aEntitled,
            const Pass& aPass)
{
  std::size_t held = 0;
  for (ModelRunner& runner : aModel.mRunners) {
    runner.mHeld = false;
  }
  const std::size_t most =
    std::max<std::size_t>(1, aModel.mRunners.size() / kRunnersPerHeldRunner);
  for (const std::size_t index : aEntitled) {
    if (!aPass.mLargeFull || !aModel.mJobs[index].mLarge || held == most ||
        std::find(aPass.mStarted.begin(), aPass.mStarted.end(), index) !=
          aPass.mStarted.end()) {
      continue;
    }
    std::max_element(aModel.mRunners.begin(),
                     aModel.mRunners.end(),
                     [](const ModelRunner& aFirst, const ModelRunner& aSecond) {
                       return std::pair(!aFirst.mHeld, aFirst.Unused()) <
                              std::pair(!aSecond.mHeld, aSecond.Unused());
                     })
      ->mHeld = true;
    ++held;
  }
}

void
Place(Model& aModel)
{
  std::vector<std::size_t> order = aModel.mWaiting;
  std::stable_partition(order.begin(), order.end(), [&](std::size_t aJob) {
    return !aModel.mJobs[aJob].mLarge;
  });
  Pass pass;
  if (aModel.mPolicy == SharePolicy::None) {
    PlaceInOrder(aModel, order, pass);
  } else if (aModel.mPolicy == SharePolicy::FairQueueing ||
             aModel.mPolicy == SharePolicy::DominantShares) {
    PlaceByAccount(aModel, order, pass);
  } else {
    const auto surplus =
      std::stable_partition(order.begin(), order.end(), [&](std::size_t aJob) {
        return !aModel.mJobs[aJob].mSurplus;
      });
    const auto large =
      std::find_if(surplus, order.end(), [&](std::size_t aJob) {
        return aModel.mJobs[aJob].mLarge;
      });
    const std::vector<std::size_t> entitled(order.begin(), surplus);
    PlaceInOrder(aModel, entitled, pass);
    HoldRunners(aModel, entitled, pass);
    PlaceByAccount(aModel, { surplus, large }, pass);
    PlaceByAccount(aModel, { large, order.end() }, pass);
  }
  std::erase_if(aModel.mWaiting, [&](std::size_t aJob) {
    return std::find(pass.mStarted.begin(), pass.mStarted.end(), aJob) !=
           pass.mStarted.end();
  });
}

} // namespace

void
RunShareModel(SharePolicy aPolicy, const ShareLoad& aLoad, ShareTimes& aTimes)
{
  Model model;
  model.mPolicy = aPolicy;
  model.mJobs = MakeJobs(aLoad);
  model.mRunners.resize(aLoad.mRunners);
  std::size_t arrived = 0;
  for (int step = 0; arrived < model.mJobs.size() || !model.mWaiting.empty() ||
                     !model.mRunning.empty();
       ++step) {
    const double now = step * kStepS;
    Run(model, aLoad, now, aTimes);
    while (arrived < model.mJobs.size() &&
           model.mJobs[arrived].mArrivedS <= now) {
      model.mWaiting.push_back(arrived++);
    }
    Place(model);
  }
}

double
Percentile(std::vector<double> aTimes, double aPercent)
{
  if (aTimes.empty()) {
    return 0;
  }
  std::sort(aTimes.begin(), aTimes.end());
  return aTimes[static_cast<std::size_t>(
    static_cast<double>(aTimes.size() - 1) * aPercent / 100)];
}

} // namespace paddle::dispatch
