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

/// Replaces the lease keepers of all schedulers: the test decides which process
/// owns the shards. Each change writes the shard's row, as LeaseKeeper does.
class FakeLeaseKeepers
{
public:
  explicit FakeLeaseKeepers(MemoryTable& aTable)
    : mTable(aTable)
  {
  }

  /// Makes a member the owner of all shards, with a new epoch.
  void GiveAllShards(const Member& aMember, Acquisition aAcquisition);

  /// Lets the owner's lease expire or hold again, without a new owner.
  void SetLeaseHolds(bool aLeaseHolds);

  /// Adds a scheduler.
  /// @return its lease port
  LeasePort PortOf(const Member& aMember);

private:
  void WriteRow(const std::string& aShard);

  std::mutex mMutex; ///< Guards the members below.
  MemoryTable& mTable;
  std::vector<std::string> mShards;
  std::vector<Member> mMembers; ///< All schedulers.
  Member mOwner;
  std::uint64_t mEpoch = 0;
  Acquisition mAcquisition = Acquisition::FirstOwner;
  bool mLeaseHolds = true; ///< The lease of mOwner holds.
};

/// The parts of a scheduler process except its lease keeper and configuration
/// follower, which the deployment replaces.
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

/// A deployment for tests: the platform's services in memory, stand-ins for the
/// workers on loopback addresses, and schedulers.
class TestDeployment
{
public:
  /// @param aWorkers number of workers; each has 4 cores, and they are
  ///                 alternately in data centres "dc-1" and "dc-2"
  /// @param aPolicy  name of the placement policy
  explicit TestDeployment(unsigned aWorkers, const std::string& aPolicy);
  ~TestDeployment();

  /// Starts a scheduler; the first one owns all shards.
  TestProcess& StartProcess(const std::string& aName, unsigned aPort);

  /// Ends a process without a hand-over, as SIGKILL does.
  void Kill(TestProcess& aProcess);

  /// Makes a process the owner of all shards.
  void GiveAllShards(TestProcess& aProcess, Acquisition aAcquisition);

  /// Takes a data centre out of or into service, as the program `savorypaddle`
  /// does, and tells the workers, which record starts in a data centre that is
  /// out as violations.
  void SetDataCentreState(const std::string& aName, DataCentreState aState);

  /// Adds or replaces a service document.
  void SetService(const ServiceDocument& aService);

  /// Submits a job that is complete after @p aSeconds of run time.
  static Outcome<Json::Value> Submit(TestProcess& aProcess,
                                     const std::string& aJob,
                                     int aCores = 1,
                                     int aSeconds = 1);

  /// Calls an RPC method of a scheduler.
  static Outcome<Json::Value> Call(TestProcess& aProcess,
                                   const std::string& aMethod,
                                   const Json::Value& aParameters);

  /// Makes workers fail as the parameters of the method standin.fault say.
  void InjectFault(const Json::Value& aParameters);

  /// @return the result of standin.stats: what the workers did so far
  Json::Value Stats();

  /// Waits until the condition holds.
  /// @return whether it held within about 60 s, which is far longer than any
  ///         test needs
  static bool Eventually(const std::function<bool()>& aCondition);

  /// Fails the test if the workers recorded a violation of a guarantee, for
  /// instance a job that was started twice with one attempt.
  void CheckGuarantees();

  MemoryTable mTable;
  PlatformFaults mFaults;

private:
  std::vector<HostEntry> mHostList;
  MemoryHosts mHosts;
  PlacementPolicy mPolicy;
  FakeLeaseKeepers mLeaseKeepers{ mTable };
  Fleet mFleet;
  std::unique_ptr<HttpServer> mFleetServer;
  std::mutex mConfigMutex;
  std::shared_ptr<const Configuration> mConfiguration;
  std::vector<std::unique_ptr<TestProcess>> mProcesses;
};

} // namespace paddle::test
