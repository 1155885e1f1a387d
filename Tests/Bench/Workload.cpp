#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace paddle::bench {

namespace {

constexpr double kMeanServiceTimeS = 0.1;
constexpr double kServiceTimeSigma = 0.5;
constexpr double kSlotsPerRunner = 8;
/// Cores that the jobs ask for on average outside of waves, as a share of the
/// workers' cores.
constexpr double kBatchLoad = 0.8;
/// Mean run time of a batch job.
constexpr double kMeanRunTimeS = 40;
/// Share of the jobs that interfere strongly with their neighbours, outside of
/// waves and within them.
constexpr double kNoisyJobShare = 0.1;
constexpr double kWaveNoisyJobShare = 0.8;
/// Factor by which jobs arrive faster during a wave.
constexpr double kWaveArrivalRateFactor = 1.5;
constexpr int kTeamCount = 4;

/// Pseudo-random numbers of several distributions from one engine.
struct RandomSource
{
  std::mt19937_64 mEngine;

  double Uniform() { return std::uniform_real_distribution<>()(mEngine); }
  double Exponential(double aMean)
  {
    return std::exponential_distribution<>(1 / aMean)(mEngine);
  }
  /// @param aMean mean of the distribution itself
  /// @param aSigma standard deviation of its logarithm
  double LogNormal(double aMean, double aSigma)
  {
    return std::lognormal_distribution<>(std::log(aMean) - aSigma * aSigma / 2,
                                         aSigma)(mEngine);
  }
};

/// @return whether a wave of noisy jobs arrives at @p aSecond
bool
InNoisyWave(const Scenario& aScenario, double aSecond)
{
  constexpr double kWavePeriodS = 60;
  constexpr double kWaveLengthS = 20;
  return aScenario.mNoisyWaves.Contains(aSecond) &&
         std::fmod(aSecond, kWavePeriodS) < kWaveLengthS;
}

/// @return requests with exponential times between arrivals and log-normal
///         service times
std::vector<BenchRequest>
MakeRequests(const Deployment& aDeployment,
             const Scenario& aScenario,
             RandomSource& aRandom)
{
  std::vector<BenchRequest> requests;
  const double capacity = static_cast<double>(aDeployment.mRunnerCount) *
                          kSlotsPerRunner / kMeanServiceTimeS;
  // Requests start after 20 s, when the runners have been placed.
  double now = 20;
  for (;;) {
    const double load =
      aScenario.mPeak.Contains(now) ? aScenario.mPeakLoad : aScenario.mBaseLoad;
    now += aRandom.Exponential(1 / (capacity * load));
    if (now >= kRunDurationS) {
      return requests;
    }
    requests.push_back(
      { now, aRandom.LogNormal(kMeanServiceTimeS, kServiceTimeSigma) });
  }
}

/// @param aNumber of the job, for its name and its team
/// @param aNow its arrival in virtual seconds
BenchJob
MakeJob(const Scenario& aScenario,
        std::size_t aNumber,
        double aNow,
        RandomSource& aRandom)
{
  BenchJob job;
  job.mArrivalS = aNow;
  job.mSpec.mJob = "job-" + std::to_string(aNumber);
  job.mSpec.mTeam = "team-" + std::to_string(aNumber % kTeamCount);
  job.mSpec.mClass =
    aRandom.Uniform() < 0.1 ? TaskClass::Urgent : TaskClass::Batch;
  const double cores = 1 + std::floor(aRandom.Uniform() * 4);
  job.mTrueUse = { static_cast<std::int64_t>(cores * 1000),
                   static_cast<std::int64_t>(cores * 3000),
                   0 };
  job.mTrueRunTimeS = aRandom.LogNormal(kMeanRunTimeS, 0.6);
  const bool inWave = InNoisyWave(aScenario, aNow);
  const bool noisy =
    aRandom.Uniform() < (inWave ? kWaveNoisyJobShare : kNoisyJobShare);
  job.mNoisyShare = noisy ? 1.0 : 0.1;
  const double declarationError = std::exp(
    (aRandom.Uniform() * 2 - 1) * std::log(aScenario.mMaxDeclarationError));
  const auto declared = [declarationError](std::int64_t aTrue,
                                           std::int64_t aMaximum) {
    const auto scaled =
      static_cast<std::int64_t>(static_cast<double>(aTrue) * declarationError);
    return std::clamp(scaled, std::int64_t{ 100 }, aMaximum);
  };
  job.mSpec.mDeclared = { declared(job.mTrueUse.mMilliCores, 12000),
                          declared(job.mTrueUse.mMemoryMb, 45000),
                          0 };
  job.mSpec.mExpectedTime = Seconds(static_cast<Seconds::rep>(
    std::max(1.0, job.mTrueRunTimeS * declarationError)));
  job.mInCancellationWave = aScenario.mCancellationAtS > 0 &&
                            aNow < aScenario.mCancellationAtS &&
                            aRandom.Uniform() < 1.0 / 3;
  return job;
}

/// @return jobs with exponential times between arrivals
std::vector<BenchJob>
MakeJobs(const Deployment& aDeployment,
         const Scenario& aScenario,
         RandomSource& aRandom)
{
  std::vector<BenchJob> jobs;
  const double cores = static_cast<double>(aDeployment.mWorkerCount) *
                       static_cast<double>(aDeployment.mCoresPerWorker);
  // Jobs use 1 to 4 cores with equal probability.
  constexpr double kMeanCores = 2.5;
  const double meanInterarrivalS =
    kMeanCores * kMeanRunTimeS / (cores * kBatchLoad);
  double now = 5;
  while (now < kRunDurationS) {
    jobs.push_back(MakeJob(aScenario, jobs.size(), now, aRandom));
    const double factor =
      InNoisyWave(aScenario, now) ? kWaveArrivalRateFactor : 1;
    now += aRandom.Exponential(meanInterarrivalS / factor);
  }
  return jobs;
}

} // namespace

Workload
MakeWorkload(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed)
{
  RandomSource requests{ std::mt19937_64(aSeed) };
  RandomSource jobs{ std::mt19937_64(aSeed + 1000003) };
  return { MakeJobs(aDeployment, aScenario, jobs),
           MakeRequests(aDeployment, aScenario, requests) };
}

} // namespace paddle::bench
