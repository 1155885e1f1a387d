#include "Scenario.h"

#include <array>

namespace paddle::bench {

namespace {

/// @return a scenario with default load and without faults
Scenario
MakeNamedScenario(std::string aName)
{
  Scenario scenario;
  scenario.mName = std::move(aName);
  return scenario;
}

std::vector<Scenario>
MakeScenarios()
{
  std::vector<Scenario> all;
  all.push_back(MakeNamedScenario("steady"));

  Scenario& weekend = all.emplace_back(MakeNamedScenario("booking_weekend"));
  weekend.mPeak = { 60, 180 };
  weekend.mPeakLoad = 5 * weekend.mBaseLoad;

  Scenario& noise = all.emplace_back(MakeNamedScenario("noisy_waves"));
  noise.mNoisyWaves = { 30, 240 };

  Scenario& wrong = all.emplace_back(MakeNamedScenario("wrong_declarations"));
  wrong.mMaxDeclarationError = 5;

  Scenario& bad = all.emplace_back(MakeNamedScenario("bad_workers"));
  bad.mFailingWorkerCount = 4;

  Scenario& out = all.emplace_back(MakeNamedScenario("data_centre_out"));
  out.mDataCentreOutOfService = { 80, 160 };

  Scenario& cancel = all.emplace_back(MakeNamedScenario("cancellation_wave"));
  cancel.mCancellationAtS = 120;

  Scenario& outage = all.emplace_back(MakeNamedScenario("store_outage"));
  outage.mStoreOutage = { 80, 140 };

  Scenario& overload = all.emplace_back(MakeNamedScenario("saturated"));
  overload.mBaseLoad = 1;
  overload.mPeakLoad = 1;

  Scenario& twice = all.emplace_back(MakeNamedScenario("overload_2x"));
  twice.mBaseLoad = 2;
  twice.mPeakLoad = 2;
  return all;
}

} // namespace

std::span<const Deployment>
Deployments()
{
  static const std::array<Deployment, 2> sDeployments{
    Deployment{ "cooperativa", 50, 16, 60000, 8, 50 },
    Deployment{ "madhurya", 65, 32, 125000, 11, 65 }
  };
  return sDeployments;
}

std::span<const Scenario>
Scenarios()
{
  static const std::vector<Scenario> sScenarios = MakeScenarios();
  return sScenarios;
}

} // namespace paddle::bench
