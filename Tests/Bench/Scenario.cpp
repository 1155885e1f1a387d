#include "Scenario.h"

#include <array>

namespace paddle::bench {

namespace {

Scenario
Named(std::string aName)
{
  Scenario scenario;
  scenario.mName = std::move(aName);
  return scenario;
}

std::vector<Scenario>
MakeScenarios()
{
  std::vector<Scenario> all;
  all.push_back(Named("steady"));

  Scenario& weekend = all.emplace_back(Named("booking_weekend"));
  weekend.mRush = { 60, 180 };
  weekend.mRushLoad = 5 * weekend.mLoad;

  Scenario& noise = all.emplace_back(Named("noisy_waves"));
  noise.mNoise = { 30, 240 };

  Scenario& wrong = all.emplace_back(Named("wrong_declarations"));
  wrong.mWrongFactor = 5;

  Scenario& bad = all.emplace_back(Named("bad_workers"));
  bad.mBadWorkers = 4;

  Scenario& out = all.emplace_back(Named("data_centre_out"));
  out.mDataCentreOut = { 80, 160 };

  Scenario& cancel = all.emplace_back(Named("cancellation_wave"));
  cancel.mCancelAtS = 120;

  Scenario& outage = all.emplace_back(Named("store_outage"));
  outage.mStoreOutage = { 80, 140 };

  Scenario& overload = all.emplace_back(Named("saturated"));
  overload.mLoad = 1;
  overload.mRushLoad = 1;

  Scenario& twice = all.emplace_back(Named("overload_2x"));
  twice.mLoad = 2;
  twice.mRushLoad = 2;
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
