#include "SchedulerFixture.h"

#include <algorithm>
#include <thread>

#include <LibBase/JsonReader.h>
#include <LibKernel/Registry.h>
#include <LibRpc/RpcClient.h>

#include <CppUTest/TestHarness.h>

namespace paddle::test {

namespace {

constexpr std::uint16_t kWorkerPort = 23500;

/// @return the host list of a TestDeployment
std::vector<HostEntry>
MakeHosts(unsigned aWorkers)
{
  std::vector<HostEntry> hosts;
  for (unsigned i = 0; i < aWorkers; ++i) {
    HostEntry host;
    host.mName = "w" + std::to_string(i);
    host.mAddress = { "127.23.0." + std::to_string(i + 1), kWorkerPort };
    host.mDataCentre = i % 2 == 0 ? "dc-1" : "dc-2";
    host.mRegion = "region";
    host.mRack = host.mDataCentre + "-rack";
    host.mCores = 4;
    host.mMemoryMb = 8000;
    hosts.push_back(host);
  }
  return hosts;
}

} // namespace

void
FakeLeaseKeepers::GiveAllShards(const Member& aMember, Acquisition aAcquisition)
{
  const std::lock_guard lock(mMutex);
  mOwner = aMember;
  mAcquisition = aAcquisition;
  ++mEpoch;
  for (const std::string& shard : mShards) {
    WriteRow(shard);
  }
}

void
FakeLeaseKeepers::SetLeaseHolds(bool aLeaseHolds)
{
  const std::lock_guard lock(mMutex);
  mLeaseHolds = aLeaseHolds;
}

void
FakeLeaseKeepers::WriteRow(const std::string& aShard)
{
  Json::Value row(Json::objectValue);
  row["epoch"] = Json::UInt64(mEpoch);
  row["owner"]["name"] = mOwner.mName;
  mTable.Transact({ {}, { { "shard/" + aShard, WriteJson(row) } } });
}

LeasePort
FakeLeaseKeepers::PortOf(const Member& aMember)
{
  std::size_t self = 0;
  {
    const std::lock_guard lock(mMutex);
    self = mMembers.size();
    mMembers.push_back(aMember);
  }
  LeasePort port;
  port.mSetShards = [this](const std::vector<ShardSpec>& aShards) {
    const std::lock_guard lock(mMutex);
    for (const ShardSpec& shard : aShards) {
      if (std::find(mShards.begin(), mShards.end(), shard.mId) ==
          mShards.end()) {
        mShards.push_back(shard.mId);
        WriteRow(shard.mId);
      }
    }
  };
  port.mOwns = [this,
                self](std::string_view aShard) -> std::optional<Ownership> {
    const std::lock_guard lock(mMutex);
    if (!mLeaseHolds || mOwner.mName != mMembers[self].mName ||
        std::find(mShards.begin(), mShards.end(), aShard) == mShards.end()) {
      return std::nullopt;
    }
    return Ownership{ mEpoch, mAcquisition, {} };
  };
  port.mOwnerOf = [this](std::string_view) -> std::optional<Member> {
    const std::lock_guard lock(mMutex);
    return mOwner;
  };
  port.mSchedulers = [this] {
    const std::lock_guard lock(mMutex);
    return mMembers;
  };
  return port;
}

TestProcess::~TestProcess()
{
  // The server is stopped first, so that no request reaches a scheduler that is
  // being destroyed.
  mServer.reset();
  mScheduler.reset();
}

TestDeployment::TestDeployment(unsigned aWorkers, const std::string& aPolicy)
  : mHostList(MakeHosts(aWorkers))
  , mHosts(mHostList, Millis(0))
  , mPolicy(ValueOf(Registry<PlacementPolicy>::Instance().Find(aPolicy)))
  , mFleet(mHostList, 1)
{
  auto server = ServeFleet(mFleet, mHostList);
  CHECK_TRUE(Succeeded(server));
  mFleetServer = std::move(ValueOf(server));
  auto configuration = std::make_shared<Configuration>();
  for (const char* name : { "dc-1", "dc-2" }) {
    configuration->mDataCentres[name] = { name,
                                          "region",
                                          DataCentreState::InService };
  }
  mConfiguration = configuration;
}

TestDeployment::~TestDeployment()
{
  mProcesses.clear();
}

TestProcess&
TestDeployment::StartProcess(const std::string& aName, unsigned aPort)
{
  TestProcess& process =
    *mProcesses.emplace_back(std::make_unique<TestProcess>());
  process.mSelf.mName = aName;
  process.mSelf.mIncarnation = aName + "-1";
  process.mSelf.mRole = "scheduler";
  process.mSelf.mAddress = { "127.23.1.1", static_cast<std::uint16_t>(aPort) };
  process.mClient =
    std::make_unique<HttpClient>(HttpClientSettings{ "savorypaddle/" + aName });
  ConfigPort config;
  config.mCurrent = [this] {
    const std::lock_guard lock(mConfigMutex);
    return mConfiguration;
  };
  config.mAge = [] { return std::optional(Millis(0)); };
  process.mPorts = { process.mSelf,
                     MakeMemoryTablePort(mTable, mFaults, aName),
                     MakeMemoryHostListPort(mHosts),
                     mLeaseKeepers.PortOf(process.mSelf),
                     config,
                     process.mClient.get(),
                     &process.mMetrics };
  if (mProcesses.size() == 1) {
    mLeaseKeepers.GiveAllShards(process.mSelf, Acquisition::FirstOwner);
  }
  LinkSettings links;
  links.mPollInterval = Millis(200);
  links.mGroups = 4;
  process.mScheduler =
    std::make_unique<Scheduler>(process.mPorts, mPolicy, links);
  auto server =
    HttpServer::Start({ { process.mSelf.mAddress }, 50 },
                      MakeRpcHandler(process.mScheduler->Methods()));
  CHECK_TRUE(Succeeded(server));
  process.mServer = std::move(ValueOf(server));
  return process;
}

void
TestDeployment::Kill(TestProcess& aProcess)
{
  std::erase_if(mProcesses,
                [&](const auto& aOther) { return aOther.get() == &aProcess; });
}

void
TestDeployment::GiveAllShards(TestProcess& aProcess, Acquisition aAcquisition)
{
  mLeaseKeepers.GiveAllShards(aProcess.mSelf, aAcquisition);
}

void
TestDeployment::SetDataCentreState(const std::string& aName,
                                   DataCentreState aState)
{
  {
    const std::lock_guard lock(mConfigMutex);
    auto changed = std::make_shared<Configuration>(*mConfiguration);
    changed->mDataCentres[aName].mState = aState;
    mConfiguration = changed;
  }
  Json::Value fault(Json::objectValue);
  fault[aState == DataCentreState::Out ? "dataCentreOut" : "dataCentreIn"] =
    aName;
  InjectFault(fault);
}

void
TestDeployment::SetService(const ServiceDocument& aService)
{
  const std::lock_guard lock(mConfigMutex);
  auto changed = std::make_shared<Configuration>(*mConfiguration);
  changed->mServices[aService.mService] = aService;
  mConfiguration = changed;
}

Outcome<Json::Value>
TestDeployment::Submit(TestProcess& aProcess,
                       const std::string& aJob,
                       int aCores,
                       int aSeconds)
{
  Json::Value document(Json::objectValue);
  document["job"] = aJob;
  document["team"] = "team";
  document["size"]["cores"] = aCores;
  document["size"]["memoryMb"] = 500;
  document["expectedSeconds"] = aSeconds;
  Json::Value parameters(Json::objectValue);
  parameters["text"] = WriteJson(document);
  return Call(aProcess, "scheduler.submit", parameters);
}

Outcome<Json::Value>
TestDeployment::Call(TestProcess& aProcess,
                     const std::string& aMethod,
                     const Json::Value& aParameters)
{
  return CallRpc(*aProcess.mClient,
                 aProcess.mSelf.mAddress,
                 aMethod,
                 aParameters,
                 Millis(10000));
}

void
TestDeployment::InjectFault(const Json::Value& aParameters)
{
  CHECK_TRUE(Succeeded(
    mFleet.ApplyFault(aParameters, std::chrono::steady_clock::now())));
}

Json::Value
TestDeployment::Stats()
{
  Json::Value parameters(Json::objectValue);
  parameters["jobs"] = true;
  return mFleet.Stats(parameters, std::chrono::steady_clock::now());
}

bool
TestDeployment::Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 6000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(10));
  }
  return false;
}

void
TestDeployment::CheckGuarantees()
{
  const Json::Value stats = Stats();
  const std::string first =
    stats["violations"].empty() ? "" : stats["violations"][0].asString();
  STRCMP_EQUAL("", first.c_str());
}

} // namespace paddle::test
