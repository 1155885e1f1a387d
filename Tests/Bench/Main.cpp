// Simulates the current policies and the baseline policies with the same
// workloads in virtual time, and prints one line per deployment, scenario and
// measure.
//
// Usage: bench [SEEDS [SCENARIO]]
// SEEDS is the number of seeds over which each measure is averaged (default 5).
// SCENARIO restricts the run to one scenario.

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <LibKernel/Registry.h>

#include "RequestRun.h"

using namespace paddle;
using namespace paddle::bench;

namespace {

/// Number of simulations that run in parallel.
constexpr unsigned kThreadCount = 4;

/// One of the two sets of policies that are compared.
struct ComparedPolicies
{
  PlacementPolicy mPlacement;
  RoutingPolicy mRouting;
  Admission mAdmission = Admission::None;
};

/// Result of one simulated run.
struct RunResult
{
  RequestResult mRequests;
  ClusterResult mCluster;
};

/// Looks up policies by name. Exits if one is not registered.
ComparedPolicies
FindPolicies(const char* aPlacement, const char* aRouting, Admission aAdmission)
{
  const auto placement = Registry<PlacementPolicy>::Instance().Find(aPlacement);
  const auto routing = Registry<RoutingPolicy>::Instance().Find(aRouting);
  if (!Succeeded(placement) || !Succeeded(routing)) {
    std::fprintf(stderr, "policy %s or %s is missing\n", aPlacement, aRouting);
    std::exit(EXIT_FAILURE);
  }
  return { ValueOf(placement), ValueOf(routing), aAdmission };
}

/// Simulates one deployment under one scenario with one set of policies.
RunResult
RunOnce(const Deployment& aDeployment,
        const Scenario& aScenario,
        std::uint64_t aSeed,
        const ComparedPolicies& aPolicies)
{
  const Workload workload = MakeWorkload(aDeployment, aScenario, aSeed);
  Cluster cluster(aDeployment, aScenario, workload.mJobs, aPolicies.mPlacement);
  RunResult result;
  result.mRequests = RunRequests(aDeployment,
                                 workload.mRequests,
                                 aPolicies.mRouting,
                                 aPolicies.mAdmission,
                                 cluster);
  result.mCluster = cluster.Result();
  return result;
}

/// @return the value of each measure by its name; values can be averaged over
///         seeds
std::map<std::string, double>
MeasuresOf(const RunResult& aResult)
{
  const RequestResult& requests = aResult.mRequests;
  const ClusterResult& cluster = aResult.mCluster;
  std::map<std::string, double> measures;
  measures["p50_ms"] = requests.mP50Ms;
  measures["p99_ms"] = requests.mP99Ms;
  measures["answered_in_time"] = static_cast<double>(requests.mAnsweredInTime);
  measures["arrived"] = static_cast<double>(requests.mArrived);
  measures["refusal_p99_ms"] = requests.mRefusalP99Ms;
  measures["refusal_longest_ms"] = requests.mRefusalLongestMs;
  measures["batch_core_s"] = cluster.mBatchCoreS;
  measures["evictions"] = static_cast<double>(cluster.mEvictions);
  measures["starts"] = static_cast<double>(cluster.mStarts);
  measures["urgent_wait_p99_s"] = cluster.mUrgentWaitP99S;
  if (cluster.mOutOfServiceCapacityCoreS > 0) {
    measures["out_use_of_capacity_left"] =
      cluster.mOutOfServiceBatchCoreS / cluster.mOutOfServiceCapacityCoreS;
  }
  measures["violations"] = static_cast<double>(
    cluster.mOvercommittedStarts + cluster.mDuplicateStarts +
    cluster.mLateStarts + requests.mSlotsExceeded);
  return measures;
}

/// The measures of both sets of policies for one workload.
struct Comparison
{
  const Deployment* mDeployment = nullptr;
  const Scenario* mScenario = nullptr;
  std::uint64_t mSeed = 0;
  std::map<std::string, double> mBaseline;
  std::map<std::string, double> mCurrent;
};

/// Runs all simulations and fills in the measures.
void
RunComparisons(std::vector<Comparison>& aComparisons)
{
  const ComparedPolicies baseline =
    FindPolicies("first-fit", "round-robin", Admission::None);
  const ComparedPolicies current =
    FindPolicies("learned", "least-outstanding", Admission::ByDeadline);
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&] {
    for (std::size_t i = next++; i < aComparisons.size(); i = next++) {
      Comparison& comparison = aComparisons[i];
      comparison.mBaseline = MeasuresOf(RunOnce(*comparison.mDeployment,
                                                *comparison.mScenario,
                                                comparison.mSeed,
                                                baseline));
      comparison.mCurrent = MeasuresOf(RunOnce(*comparison.mDeployment,
                                               *comparison.mScenario,
                                               comparison.mSeed,
                                               current));
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < kThreadCount; ++i) {
    threads.emplace_back(work);
  }
}

/// Prints the means over the seeds.
/// @param aComparisons ordered so that the seeds of a scenario are adjacent
/// @param aSeeds number of seeds of each scenario
void
PrintMeasures(const std::vector<Comparison>& aComparisons, std::size_t aSeeds)
{
  for (std::size_t first = 0; first < aComparisons.size(); first += aSeeds) {
    for (const auto& [measure, unused] : aComparisons[first].mCurrent) {
      double baseline = 0;
      double current = 0;
      for (std::size_t i = first; i < first + aSeeds; ++i) {
        baseline +=
          aComparisons[i].mBaseline.at(measure) / static_cast<double>(aSeeds);
        current +=
          aComparisons[i].mCurrent.at(measure) / static_cast<double>(aSeeds);
      }
      std::printf("deployment=%s scenario=%s measure=%s baseline=%.3f "
                  "current=%.3f ratio=%.3f\n",
                  aComparisons[first].mDeployment->mName.c_str(),
                  aComparisons[first].mScenario->mName.c_str(),
                  measure.c_str(),
                  baseline,
                  current,
                  baseline != 0 ? current / baseline : 0);
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::size_t seeds = aCount > 1 ? std::stoul(aArguments[1]) : 5;
  const std::string only = aCount > 2 ? aArguments[2] : "";
  std::vector<Comparison> comparisons;
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : Scenarios()) {
      if (!only.empty() && scenario.mName != only) {
        continue;
      }
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        comparisons.push_back({ &deployment, &scenario, seed, {}, {} });
      }
    }
  }
  RunComparisons(comparisons);
  PrintMeasures(comparisons, seeds);
  return EXIT_SUCCESS;
}
