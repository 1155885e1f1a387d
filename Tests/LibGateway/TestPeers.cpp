#include "GatewayFixture.h"
#include "ScriptedRunner.h"

#include <atomic>
#include <thread>

#include <LibGateway/GatewayMessage.h>
#include <LibGateway/RunnerFollower.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint16_t kRunnerPort = 21011;

/// Two gateways. The second owns all runner shards. The first owns all key
/// shards and has named the second as its successor.
struct GatewayPair
{
  FakeCluster mCluster;
  Member mFirst = MakeMember("g1", 21101);
  Member mSecond = MakeMember("g2", 21102);
  std::unique_ptr<TestGateway> mFirstGateway;
  std::unique_ptr<TestGateway> mSecondGateway;

  GatewayPair()
  {
    mCluster.AddRunner(kRunnerPort);
    mCluster.SetOwner("runner/", mSecond);
    mCluster.SetOwner("key/", mFirst);
    mCluster.SetSuccessor(mFirst, mSecond);
    mCluster.AddMember(mFirst);
    mCluster.AddMember(mSecond);
    mFirstGateway = std::make_unique<TestGateway>(mCluster, mFirst);
    mSecondGateway = std::make_unique<TestGateway>(mCluster, mSecond);
    mSecondGateway->WaitUntilServing();
    mFirstGateway->WaitUntilServing();
  }
};

/// A runner that answers each order with its number.
struct CountingRunner
{
  std::atomic<int> mOrders{ 0 };
  ScriptedRunner mRunner{ kRunnerPort, [this](const std::string& aRequest) {
                           const bool order =
                             aRequest.starts_with("POST /order");
                           const int number = order ? ++mOrders : 0;
                           return AnswerTo(aRequest, std::to_string(number));
                         } };
};

} // namespace

TEST_GROUP(Peers){};

// Guards against a gateway that has no free slots refusing a request although a
// peer has some.
TEST(Peers, ForwardsToThePeerWithFreeSlots)
{
  CountingRunner runner;
  GatewayPair pair;
  const HttpReply reply = (*pair.mFirstGateway)->Handle(MakeRequest("/order"));
  LONGS_EQUAL(200, reply.mStatus);
  STRCMP_EQUAL("1", reply.mBody.c_str());
  // The request keeps the id that the first gateway gave it.
  CHECK_TRUE(FindHeader(reply.mHeaders, kRequestIdHeader).starts_with("g1-"));
}

// Guards against an order that runs twice because the caller sent it, with the
// same key, to two gateways.
TEST(Peers, AKeyRunsOnceThroughAnyGateway)
{
  CountingRunner runner;
  GatewayPair pair;
  STRCMP_EQUAL(
    "1",
    (*pair.mSecondGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  STRCMP_EQUAL(
    "1",
    (*pair.mFirstGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against a second run of an order after the owner of its key has died.
// The successor returns the stored answer, and it runs orders with new keys.
TEST(Peers, TheSuccessorReplaysTheAnswerOfADeadOwner)
{
  CountingRunner runner;
  GatewayPair pair;
  STRCMP_EQUAL(
    "1",
    (*pair.mFirstGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mFirstGateway.reset();
  pair.mCluster.SetOwner("key/", pair.mSecond, 2, Acquisition::Successor);
  STRCMP_EQUAL(
    "1",
    (*pair.mSecondGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  STRCMP_EQUAL(
    "2",
    (*pair.mSecondGateway)->Handle(MakeRequest("/order", "new")).mBody.c_str());
}

// Guards against a second run of an order after the owner of its key and the
// successor with the copy were both lost. A new owner without a copy must not
// run any key, because it may have run before.
TEST(Peers, ANewOwnerWithoutACopyAnswersUnknown)
{
  CountingRunner runner;
  GatewayPair pair;
  pair.mCluster.SetOwner("key/", pair.mSecond, 2, Acquisition::Takeover);
  const HttpReply reply =
    (*pair.mSecondGateway)->Handle(MakeRequest("/order", "new"));
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  LONGS_EQUAL(0, runner.mOrders.load());
}

// Guards against answers that are lost when a key shard is handed over.
TEST(Peers, AHandOverTransfersTheKeys)
{
  CountingRunner runner;
  GatewayPair pair;
  STRCMP_EQUAL(
    "1",
    (*pair.mFirstGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mCluster.SetOwner("key/", pair.mSecond, 2, Acquisition::HandOver);
  STRCMP_EQUAL(
    "1",
    (*pair.mSecondGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against keys that are lost when the previous owner has exited before
// the new owner asks it for them. The new owner must then use the copy at the
// previous owner's successor.
TEST(Peers, AHandOverFromAnExitedProcessUsesTheCopy)
{
  CountingRunner runner;
  GatewayPair pair;
  const Member third = MakeMember("g3", 21103);
  pair.mCluster.AddMember(third);
  TestGateway thirdGateway(pair.mCluster, third);
  STRCMP_EQUAL(
    "1",
    (*pair.mFirstGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mFirstGateway.reset();
  pair.mCluster.SetOwner("key/", third, 2, Acquisition::HandOver);
  STRCMP_EQUAL("1",
               thirdGateway->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against keys that are lost when a successor acquires a shard and hands
// it over again before it has adopted its copy of the keys.
TEST(Peers, ASuccessorThatHandsOverBeforeAdoptionTransfersTheCopy)
{
  CountingRunner runner;
  GatewayPair pair;
  const Member third = MakeMember("g3", 21103);
  pair.mCluster.AddMember(third);
  TestGateway thirdGateway(pair.mCluster, third);
  STRCMP_EQUAL(
    "1",
    (*pair.mFirstGateway)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mFirstGateway.reset();
  for (std::uint32_t i = 0; i < kKeyShards; ++i) {
    CHECK_TRUE((*pair.mSecondGateway)->Quiescent(KeyShardId(i)));
  }
  pair.mCluster.SetOwner("key/", third, 3, Acquisition::HandOver);
  STRCMP_EQUAL("1",
               thirdGateway->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against an order that runs although the named successor has no copy of
// its key; after a takeover the successor would run it again.
TEST(Peers, RefusesNotRunWhenTheSuccessorDoesNotConfirm)
{
  CountingRunner runner;
  GatewayPair pair;
  pair.mCluster.SetSuccessor(pair.mFirst, MakeMember("gone", 21199));
  const HttpReply reply =
    (*pair.mFirstGateway)->Handle(MakeRequest("/order", "k"));
  LONGS_EQUAL(503, reply.mStatus);
  STRCMP_EQUAL("refused", OutcomeHeader(reply).c_str());
  LONGS_EQUAL(0, runner.mOrders.load());
}
