#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <LibGateway/Gateway.h>
#include <LibHttp/HttpServer.h>

namespace paddle {

/// The parts of the platform and of the lease that a gateway sees, held by
/// the test. Shared by the gateways of one test.
class TestPlace
{
public:
  TestPlace();

  /// Adds a runner of the service "desk" on 127.0.0.1.
  void AddRunner(std::uint16_t aPort);

  /// Makes a member the owner of all shards whose id starts with a prefix.
  void Own(const std::string& aPrefix,
           const Member& aMember,
           std::uint64_t aEpoch = 1,
           Acquisition aAcquisition = Acquisition::FirstOwner);

  void SetSuccessor(const Member& aOf, const Member& aSuccessor);
  void Join(const Member& aMember);

  /// @return the ports of a member's gateway
  GatewayPorts PortsOf(const Member& aMember);

  /// @return the stored decision records
  std::string Records();

private:
  struct Holder
  {
    Member mMember;
    Ownership mOwnership;
  };

  const Holder* HolderOf(std::string_view aShard) const;

  mutable std::mutex mMutex;
  std::vector<HostEntry> mHosts;
  std::shared_ptr<Configuration> mConfiguration;
  std::map<std::string, Holder> mHolders; ///< By prefix; the longest counts.
  std::map<std::string, Member> mSuccessors;
  std::vector<Member> mMembers;
  std::string mRecords;
};

Member
MakeMember(const std::string& aName, std::uint16_t aPort);

/// A gateway that serves at its member's address.
class TestGateway
{
public:
  TestGateway(TestPlace& aPlace, const Member& aSelf);

  Gateway& operator*() { return *mGateway; }
  Gateway* operator->() { return mGateway.get(); }
  HttpServer& Server() { return *mServer; }

  /// Waits until a request to "/desk/read" is answered.
  void WaitUntilServing();

private:
  std::unique_ptr<Gateway> mGateway;
  std::unique_ptr<HttpServer> mServer;
};

/// @return a request to the service "desk"
HttpRequest
MakeRequest(const std::string& aPath,
            const std::string& aKey = {},
            const std::string& aDeadline = {});

std::string
OutcomeHeader(const HttpReply& aReply);

} // namespace paddle
