#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace paddle::bench {

namespace {

constexpr double kMeanServiceS = 0.1;
constexpr double kServiceSigma = 0.5;
constexpr double kSlotsPerRunner = 8;
/// Share of the workers' cores that declared batch work asks for.
constexpr double kBatchLoad = 0.8;
constexpr double kMeanWorkS = 40;
constexpr double kNoisyShare = 0.1;
constexpr double kWaveNoisyShare = 0.8;
constexpr double kWaveFactor = 1.5;
constexpr int kTeams = 4;

struct Draw
{
  std::mt19937_64 mEngine;

  double Uniform() { return std::uniform_real_distribution<>()(mEngine); }
  double Exponential(double aMean)
  {
    return std::exponential_distribution<>(1 / aMean)(mEngine);
  }
  /// Log-normal with the given mean.
  double LogNormal(double aMean, double aSigma)
  {
    return std::lognormal_distribution<>(std::log(aMean) - aSigma * aSigma / 2,
                                         aSigma)(mEngine);
  }
};

bool
InWave(const Scenario& aScenario, double aSecond)
{
  constexpr double kWaveEveryS = 60;
  constexpr double kWaveLengthS = 20;
  return aScenario.mNoise.Contains(aSecond) &&
         std::fmod(aSecond, kWaveEveryS) < kWaveLengthS;
}

std::vector<BenchRequest>
MakeRequests(const Deployment& aDeployment,
             const Scenario& aScenario,
             Draw& aDraw)
{
  std::vector<BenchRequest> requests;
  const double capacity =
    static_cast<double>(aDeployment.mRunners) * kSlotsPerRunner / kMeanServiceS;
  // Services are placed during the first seconds.
  double now = 20;
  for (;;) {
    const double load =
      aScenario.mRush.Contains(now) ? aScenario.mRushLoad : aScenario.mLoad;
    now += aDraw.Exponential(1 / (capacity * load));
    if (now >= kRunS) {
      return requests;
    }
    requests.push_back({ now, aDraw.LogNormal(kMeanServiceS, kServiceSigma) });
  }
}

BenchJob
MakeJob(const Scenario& aScenario,
        std::size_t aNumber,
        double aNow,
        Draw& aDraw)
{
  BenchJob job;
  job.mArrivesS = aNow;
  job.mSpec.mJob = "job-" + std::to_string(aNumber);
  job.mSpec.mTeam = "team-" + std::to_string(aNumber % kTeams);
  job.mSpec.mClass =
    aDraw.Uniform() < 0.1 ? TaskClass::Urgent : TaskClass::Batch;
  const double cores = 1 + std::floor(aDraw.Uniform() * 4);
  job.mUse = { static_cast<std::int64_t>(cores * 1000),
               static_cast<std::int64_t>(cores * 3000),
               0 };
  job.mWorkS = aDraw.LogNormal(kMeanWorkS, 0.6);
  const bool wave = InWave(aScenario, aNow);
  const bool noisy = aDraw.Uniform() < (wave ? kWaveNoisyShare : kNoisyShare);
  job.mNoise = noisy ? 1.0 : 0.1;
  const double wrong =
    std::exp((aDraw.Uniform() * 2 - 1) * std::log(aScenario.mWrongFactor));
  const auto declared = [wrong](std::int64_t aTrue, std::int64_t aMost) {
    const auto scaled =
      static_cast<std::int64_t>(static_cast<double>(aTrue) * wrong);
    return std::clamp(scaled, std::int64_t{ 100 }, aMost);
  };
  job.mSpec.mDeclared = { declared(job.mUse.mMilliCores, 12000),
                          declared(job.mUse.mMemoryMb, 45000),
                          0 };
  job.mSpec.mExpectedTime =
    Seconds(static_cast<Seconds::rep>(std::max(1.0, job.mWorkS * wrong)));
  job.mCancelled = aScenario.mCancelAtS > 0 && aNow < aScenario.mCancelAtS &&
                   aDraw.Uniform() < 1.0 / 3;
  return job;
}

std::vector<BenchJob>
MakeJobs(const Deployment& aDeployment, const Scenario& aScenario, Draw& aDraw)
{
  std::vector<BenchJob> jobs;
  const double cores = static_cast<double>(aDeployment.mWorkers) *
                       static_cast<double>(aDeployment.mCores);
  constexpr double kMeanCores = 2.5;
  const double everyS = kMeanCores * kMeanWorkS / (cores * kBatchLoad);
  double now = 5;
  while (now < kRunS) {
    jobs.push_back(MakeJob(aScenario, jobs.size(), now, aDraw));
    const double factor = InWave(aScenario, now) ? kWaveFactor : 1;
    now += aDraw.Exponential(everyS / factor);
  }
  return jobs;
}

} // namespace

Workload
MakeWorkload(const Deployment& aDeployment,
             const Scenario& aScenario,
             std::uint64_t aSeed)
{
  Draw requests{ std::mt19937_64(aSeed) };
  Draw jobs{ std::mt19937_64(aSeed + 1000003) };
  return { MakeJobs(aDeployment, aScenario, jobs),
           MakeRequests(aDeployment, aScenario, requests) };
}

} // namespace paddle::bench
