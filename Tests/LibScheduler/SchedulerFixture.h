#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <LibHttp/HttpServer.h>
#include <LibScheduler/Scheduler.h>
#include <StandIns/Platform/MemoryPorts.h>
#include <StandIns/Worker/FleetService.h>

namespace paddle::test {

/// Ownership of shards as the test decides it. Each change writes the shard's
/// row, as the lease keeper does.
class Ownerships
{
public:
  explicit Ownerships(MemoryTable& aTable)
    : mTable(aTable)
  {
  }

  /// Makes a member the owner of all shards, with a new epoch.
  void Give(const Member& aMember, Acquisition aAcquisition);

  /// Makes the member's lease lapse or hold, without a new owner.
  void SetHolds(bool aHolds);

  LeasePort PortOf(const Member& aMember);

private:
  void WriteRow(const std::string& aShard);

  std::mutex mMutex;
  MemoryTable& mTable;
  std::vector<std::string> mShards;
  std::vector<Member> mMembers;
  Member mOwner;
  std::uint64_t mEpoch = 0;
  Acquisition mAcquisition = Acquisition::FirstOwner;
  bool mHolds = true;
};

/// A scheduler process without its lease keeper and configuration follower.
struct TestProcess
{
  Member mSelf;
  std::unique_ptr<HttpClient> mClient;
  Metrics mMetrics;
  SchedulerPorts mPorts;
  std::unique_ptr<Scheduler> mScheduler;
  std::unique_ptr<HttpServer> mServer;

  ~TestProcess();
};

/// A platform in memory, workers on loopback, and schedulers.
class TestDeployment
{
public:
  /// @param aWorkers of 4 cores each, in data centres "dc-1" and "dc-2" in
  ///                 turn
  explicit TestDeployment(unsigned aWorkers, const std::string& aPolicy);
  ~TestDeployment();

  /// Starts a scheduler; the first one owns all shards.
  TestProcess& StartProcess(const std::string& aName, unsigned aPort);

  /// Ends a process without a hand-over, as kill -9 does.
  void Kill(TestProcess& aProcess);

  /// Makes a process the owner of all shards.
  void Give(TestProcess& aProcess, Acquisition aAcquisition);

  /// Takes a data centre out of or into service, as `savorypaddle` does, and
  /// tells the workers' accounting.
  void SetDataCentreState(const std::string& aName, DataCentreState aState);

  void SetService(const ServiceDocument& aService);

  static Outcome<Json::Value> Submit(TestProcess& aProcess,
                                     const std::string& aJob,
                                     int aCores = 1,
                                     int aSeconds = 1);

  static Outcome<Json::Value> Call(TestProcess& aProcess,
                                   const std::string& aMethod,
                                   const Json::Value& aParameters);

  void Fault(const Json::Value& aParameters);
  Json::Value Stats();

  /// Waits until the condition holds; gives up after far longer than it can
  /// take.
  static bool Eventually(const std::function<bool()>& aCondition);

  /// Fails the test if the workers saw a guarantee violated.
  void CheckGuarantees();

  MemoryTable mTable;
  PlatformFaults mFaults;

private:
  std::vector<HostEntry> mHostList;
  MemoryHosts mHosts;
  PlacementPolicy mPolicy;
  Ownerships mOwnerships{ mTable };
  Fleet mFleet;
  std::unique_ptr<HttpServer> mFleetServer;
  std::mutex mConfigMutex;
  std::shared_ptr<const Configuration> mConfiguration;
  std::vector<std::unique_ptr<TestProcess>> mProcesses;
};

} // namespace paddle::test
