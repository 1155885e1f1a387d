// Runs today's policies and the baseline on the same arrivals and prints one
// line per deployment, scenario and measure.
//
// Usage: bench [SEEDS [SCENARIO]]

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

constexpr unsigned kThreads = 4;

/// The policies that are compared.
struct Contender
{
  PlacementPolicy mPlacement;
  RoutingPolicy mRouting;
  Admission mAdmission = Admission::None;
};

struct Outcomes
{
  RequestResult mRequests;
  ClusterResult mCluster;
};

Contender
MakeContender(const char* aPlacement,
              const char* aRouting,
              Admission aAdmission)
{
  const auto placement = Registry<PlacementPolicy>::Instance().Find(aPlacement);
  const auto routing = Registry<RoutingPolicy>::Instance().Find(aRouting);
  if (!Succeeded(placement) || !Succeeded(routing)) {
    std::fprintf(stderr, "policy %s or %s is missing\n", aPlacement, aRouting);
    std::exit(EXIT_FAILURE);
  }
  return { ValueOf(placement), ValueOf(routing), aAdmission };
}

Outcomes
RunOnce(const Deployment& aDeployment,
        const Scenario& aScenario,
        std::uint64_t aSeed,
        const Contender& aContender)
{
  const Workload workload = MakeWorkload(aDeployment, aScenario, aSeed);
  Cluster cluster(
    aDeployment, aScenario, workload.mJobs, aContender.mPlacement);
  Outcomes outcomes;
  outcomes.mRequests = RunRequests(aDeployment,
                                   workload.mRequests,
                                   aContender.mRouting,
                                   aContender.mAdmission,
                                   cluster);
  outcomes.mCluster = cluster.Result();
  return outcomes;
}

/// One value per measure; sums and means over the seeds are comparable.
std::map<std::string, double>
MeasuresOf(const Outcomes& aOutcomes)
{
  const RequestResult& requests = aOutcomes.mRequests;
  const ClusterResult& cluster = aOutcomes.mCluster;
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
  if (cluster.mOutCapacityS > 0) {
    measures["out_use_of_capacity_left"] =
      cluster.mOutCoreS / cluster.mOutCapacityS;
  }
  measures["violations"] =
    static_cast<double>(cluster.mOvercommitted + cluster.mDoubled +
                        cluster.mLateStarts + requests.mSlotsExceeded);
  return measures;
}

struct Cell
{
  const Deployment* mDeployment = nullptr;
  const Scenario* mScenario = nullptr;
  std::uint64_t mSeed = 0;
  std::map<std::string, double> mBaseline;
  std::map<std::string, double> mCurrent;
};

void
RunCells(std::vector<Cell>& aCells)
{
  const Contender baseline =
    MakeContender("first-fit", "round-robin", Admission::None);
  const Contender current =
    MakeContender("learned", "least-outstanding", Admission::ByDeadline);
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&] {
    for (std::size_t i = next++; i < aCells.size(); i = next++) {
      Cell& cell = aCells[i];
      cell.mBaseline = MeasuresOf(
        RunOnce(*cell.mDeployment, *cell.mScenario, cell.mSeed, baseline));
      cell.mCurrent = MeasuresOf(
        RunOnce(*cell.mDeployment, *cell.mScenario, cell.mSeed, current));
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
}

void
Print(const std::vector<Cell>& aCells, std::size_t aSeeds)
{
  for (std::size_t first = 0; first < aCells.size(); first += aSeeds) {
    for (const auto& [measure, unused] : aCells[first].mCurrent) {
      double baseline = 0;
      double current = 0;
      for (std::size_t i = first; i < first + aSeeds; ++i) {
        baseline +=
          aCells[i].mBaseline.at(measure) / static_cast<double>(aSeeds);
        current += aCells[i].mCurrent.at(measure) / static_cast<double>(aSeeds);
      }
      std::printf("deployment=%s scenario=%s measure=%s baseline=%.3f "
                  "current=%.3f ratio=%.3f\n",
                  aCells[first].mDeployment->mName.c_str(),
                  aCells[first].mScenario->mName.c_str(),
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
  std::vector<Cell> cells;
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : Scenarios()) {
      if (!only.empty() && scenario.mName != only) {
        continue;
      }
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        cells.push_back({ &deployment, &scenario, seed, {}, {} });
      }
    }
  }
  RunCells(cells);
  Print(cells, seeds);
  return EXIT_SUCCESS;
}
