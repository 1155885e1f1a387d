#include "GatewayFixture.h"

#include <LibGateway/GatewayMessage.h>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace paddle {

namespace {

/// @return the document of the service "desk"
ServiceDocument
MakeDocument()
{
  ServiceDocument document;
  document.mService = "desk";
  document.mRoutes = {
    { "/order", RouteKind::Short, Idempotent::No, Millis(2000) },
    { "/read", RouteKind::Short, Idempotent::Yes, Millis(2000) },
    { "/watch", RouteKind::Watch, Idempotent::Yes, Millis(2000) },
  };
  document.mLongestWatch = Millis(3000);
  return document;
}

} // namespace

FakeCluster::FakeCluster()
  : mConfiguration(std::make_shared<Configuration>())
{
  mConfiguration->mRevision = 1;
  mConfiguration->mServices["desk"] = MakeDocument();
  mConfiguration->mDataCentres["dc-1"] = { "dc-1",
                                           "region",
                                           DataCentreState::InService };
}

void
FakeCluster::AddRunner(std::uint16_t aPort)
{
  std::lock_guard lock(mMutex);
  HostEntry host;
  host.mName = "runner-" + std::to_string(aPort);
  host.mKind = HostKind::Runner;
  host.mAddress = { "127.0.0.1", aPort };
  host.mDataCentre = "dc-1";
  host.mRegion = "region";
  host.mService = "desk";
  mHosts.push_back(host);
}

void
FakeCluster::SetOwner(const std::string& aPrefix,
                      const Member& aMember,
                      std::uint64_t aEpoch,
                      Acquisition aAcquisition)
{
  std::lock_guard lock(mMutex);
  mOwners[aPrefix] = {
    aMember, { aEpoch, aAcquisition, std::chrono::steady_clock::now() }
  };
}

void
FakeCluster::SetSuccessor(const Member& aOf, const Member& aSuccessor)
{
  std::lock_guard lock(mMutex);
  mSuccessors[aOf.mName] = aSuccessor;
}

void
FakeCluster::AddMember(const Member& aMember)
{
  std::lock_guard lock(mMutex);
  mMembers.push_back(aMember);
}

const FakeCluster::ShardOwner*
FakeCluster::FindOwner(std::string_view aShard) const
{
  const ShardOwner* found = nullptr;
  std::size_t longest = 0;
  for (const auto& [prefix, holder] : mOwners) {
    if (aShard.starts_with(prefix) && (!found || prefix.size() > longest)) {
      found = &holder;
      longest = prefix.size();
    }
  }
  return found;
}

GatewayPorts
FakeCluster::PortsOf(const Member& aMember)
{
  GatewayPorts ports;
  ports.mOwns = [this, aMember](std::string_view aShard) {
    std::lock_guard lock(mMutex);
    const ShardOwner* holder = FindOwner(aShard);
    const bool own = holder && holder->mMember.mName == aMember.mName;
    return own ? std::optional(holder->mOwnership) : std::nullopt;
  };
  ports.mOwnerOf = [this](std::string_view aShard) {
    std::lock_guard lock(mMutex);
    const ShardOwner* holder = FindOwner(aShard);
    return holder ? std::optional(holder->mMember) : std::nullopt;
  };
  ports.mSuccessor = [this, aMember]() -> std::optional<Member> {
    std::lock_guard lock(mMutex);
    const auto found = mSuccessors.find(aMember.mName);
    return found == mSuccessors.end() ? std::nullopt
                                      : std::optional(found->second);
  };
  ports.mMembers = [this] {
    std::lock_guard lock(mMutex);
    return mMembers;
  };
  ports.mSetShards = [](const std::vector<ShardSpec>&) {};
  ports.mConfiguration = [this] {
    std::lock_guard lock(mMutex);
    return std::shared_ptr<const Configuration>(mConfiguration);
  };
  ports.mHosts.mList = [this]() -> Outcome<std::vector<HostEntry>> {
    std::lock_guard lock(mMutex);
    return mHosts;
  };
  ports.mObjects.mStore = [this](std::string_view aName,
                                 std::string_view aBody) -> Outcome<Done> {
    std::lock_guard lock(mMutex);
    CHECK_TRUE(aName.starts_with("record/"));
    mRecords += aBody;
    return Done{};
  };
  return ports;
}

std::string
FakeCluster::Records()
{
  std::lock_guard lock(mMutex);
  return mRecords;
}

Member
MakeMember(const std::string& aName, std::uint16_t aPort)
{
  return { aName,  aName + "1", "gateway",
           "dc-1", "region",    { "127.0.0.1", aPort } };
}

TestGateway::TestGateway(FakeCluster& aCluster, const Member& aSelf)
{
  GatewaySettings settings;
  settings.mSelf = aSelf;
  settings.mHostListInterval = Millis(50);
  settings.mOwnershipInterval = Millis(5);
  settings.mSummaryInterval = Millis(20);
  settings.mProbeTimeout = Millis(200);
  settings.mRouting.mProbeInterval = Millis(50);
  settings.mRecordInterval = Millis(20);
  auto gateway = Gateway::Start(settings, aCluster.PortsOf(aSelf));
  CHECK_TRUE(Succeeded(gateway));
  mGateway = std::move(ValueOf(gateway));
  auto server = HttpServer::Start(
    { { aSelf.mAddress }, 60 },
    MakeRpcHandler(mGateway->Methods(), [this](const HttpRequest& aRequest) {
      return mGateway->Handle(aRequest);
    }));
  CHECK_TRUE(Succeeded(server));
  mServer = std::move(ValueOf(server));
}

void
TestGateway::WaitUntilServing()
{
  constexpr int kMaxAttempts = 500;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (mGateway->Handle(MakeRequest("/read")).mStatus == 200) {
      return;
    }
    std::this_thread::sleep_for(Millis(10));
  }
  FAIL("the gateway did not answer a read");
}

HttpRequest
MakeRequest(const std::string& aPath,
            const std::string& aKey,
            const std::string& aDeadline)
{
  HttpRequest request{ "POST", "/desk" + aPath, "", {}, "body" };
  if (!aKey.empty()) {
    request.mHeaders.emplace_back(kKeyHeader, aKey);
  }
  if (!aDeadline.empty()) {
    request.mHeaders.emplace_back(kDeadlineHeader, aDeadline);
  }
  return request;
}

std::string
OutcomeHeader(const HttpReply& aReply)
{
  return std::string(FindHeader(aReply.mHeaders, kOutcomeHeader));
}

} // namespace paddle
