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

/// Stands in for the platform and the lease. The gateways of one test share an
/// instance, and the test decides which runners and owners they see.
class FakeCluster
{
public:
  FakeCluster();

  /// Adds a runner of the service "desk" at 127.0.0.1 to the host list.
  void AddRunner(std::uint16_t aPort);

  /// Makes a member the owner of all shards whose id starts with a prefix. The
  /// owner for a longer prefix takes precedence.
  void SetOwner(const std::string& aPrefix,
                const Member& aMember,
                std::uint64_t aEpoch = 1,
                Acquisition aAcquisition = Acquisition::FirstOwner);

  /// Sets the named successor of a member.
  void SetSuccessor(const Member& aOf, const Member& aSuccessor);
  /// Adds a member to the live gateways.
  void AddMember(const Member& aMember);

  /// @return ports through which a member's gateway sees this cluster
  GatewayPorts PortsOf(const Member& aMember);

  /// @return the bodies of all stored decision records
  std::string Records();

private:
  struct ShardOwner
  {
    Member mMember;
    Ownership mOwnership;
  };

  const ShardOwner* FindOwner(std::string_view aShard) const;

  mutable std::mutex mMutex;
  std::vector<HostEntry> mHosts;
  std::shared_ptr<Configuration> mConfiguration;
  std::map<std::string, ShardOwner>
    mOwners; ///< The keys are prefixes of shard ids.
  std::map<std::string, Member> mSuccessors;
  std::vector<Member> mMembers;
  std::string mRecords;
};

/// @return a gateway member in data centre "dc-1" at 127.0.0.1
Member
MakeMember(const std::string& aName, std::uint16_t aPort);

/// A gateway with an HTTP server at its member's address, with short intervals.
class TestGateway
{
public:
  TestGateway(FakeCluster& aCluster, const Member& aSelf);

  Gateway& operator*() { return *mGateway; }
  Gateway* operator->() { return mGateway.get(); }
  HttpServer& Server() { return *mServer; }

  /// Waits until a request to "/desk/read" is answered; fails the test if it
  /// never is.
  void WaitUntilServing();

private:
  std::unique_ptr<Gateway> mGateway;
  std::unique_ptr<HttpServer> mServer;
};

/// @return a POST request to the service "desk"
/// @param aKey      idempotency key; none if empty
/// @param aDeadline deadline in milliseconds; none if empty
HttpRequest
MakeRequest(const std::string& aPath,
            const std::string& aKey = {},
            const std::string& aDeadline = {});

/// @return the outcome that a reply's header names
std::string
OutcomeHeader(const HttpReply& aReply);

} // namespace paddle
