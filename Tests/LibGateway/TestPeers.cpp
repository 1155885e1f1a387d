#include "GatewayFixture.h"
#include "ScriptedRunner.h"

#include <atomic>
#include <thread>

#include <LibGateway/GatewayMessage.h>
#include <LibGateway/RunnerFollower.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint16_t kRunner = 21011;

/// Two gateways; the second owns all runners. The first owns all key shards
/// and has named the second as its successor.
struct Pair
{
  TestPlace mPlace;
  Member mFirst = MakeMember("g1", 21101);
  Member mSecond = MakeMember("g2", 21102);
  std::unique_ptr<TestGateway> mOne;
  std::unique_ptr<TestGateway> mTwo;

  Pair()
  {
    mPlace.AddRunner(kRunner);
    mPlace.Own("runner/", mSecond);
    mPlace.Own("key/", mFirst);
    mPlace.SetSuccessor(mFirst, mSecond);
    mPlace.Join(mFirst);
    mPlace.Join(mSecond);
    mOne = std::make_unique<TestGateway>(mPlace, mFirst);
    mTwo = std::make_unique<TestGateway>(mPlace, mSecond);
    mTwo->WaitUntilServing();
    mOne->WaitUntilServing();
  }
};

struct CountingRunner
{
  std::atomic<int> mOrders{ 0 };
  ScriptedRunner mRunner{ kRunner, [this](const std::string& aRequest) {
                           const bool order =
                             aRequest.starts_with("POST /order");
                           const int number = order ? ++mOrders : 0;
                           return AnswerTo(aRequest, std::to_string(number));
                         } };
};

} // namespace

TEST_GROUP(Peers){};

// Guards against requests that are refused at a gateway without free slots
// while a peer has some.
TEST(Peers, ForwardsToThePeerWithFreeSlots)
{
  CountingRunner runner;
  Pair pair;
  const HttpReply reply = (*pair.mOne)->Handle(MakeRequest("/order"));
  LONGS_EQUAL(200, reply.mStatus);
  STRCMP_EQUAL("1", reply.mBody.c_str());
  // The id is the one of the gateway that the caller reached.
  CHECK_TRUE(FindHeader(reply.mHeaders, kRequestIdHeader).starts_with("g1-"));
}

// Guards against two runs of an order that was sent to two gateways.
TEST(Peers, AKeyRunsOnceThroughAnyGateway)
{
  CountingRunner runner;
  Pair pair;
  STRCMP_EQUAL("1",
               (*pair.mTwo)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  STRCMP_EQUAL("1",
               (*pair.mOne)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against a second run after the owner of a key died: the successor
// has the answer, and runs new keys.
TEST(Peers, TheSuccessorReplaysTheAnswerOfADeadOwner)
{
  CountingRunner runner;
  Pair pair;
  STRCMP_EQUAL("1",
               (*pair.mOne)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mOne.reset();
  pair.mPlace.Own("key/", pair.mSecond, 2, Acquisition::Successor);
  STRCMP_EQUAL("1",
               (*pair.mTwo)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  STRCMP_EQUAL(
    "2", (*pair.mTwo)->Handle(MakeRequest("/order", "new")).mBody.c_str());
}

// Guards against a second run where the copies were lost with two processes.
TEST(Peers, AnyOtherOwnerAnswersUnknown)
{
  CountingRunner runner;
  Pair pair;
  pair.mPlace.Own("key/", pair.mSecond, 2, Acquisition::Takeover);
  const HttpReply reply = (*pair.mTwo)->Handle(MakeRequest("/order", "new"));
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  LONGS_EQUAL(0, runner.mOrders.load());
}

// Guards against an answer that is lost in a hand-over.
TEST(Peers, AHandOverPassesTheKeysOn)
{
  CountingRunner runner;
  Pair pair;
  STRCMP_EQUAL("1",
               (*pair.mOne)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mPlace.Own("key/", pair.mSecond, 2, Acquisition::HandOver);
  STRCMP_EQUAL("1",
               (*pair.mTwo)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against keys that are lost when the predecessor has left before the
// new owner asks it: the copy at the predecessor's successor counts.
TEST(Peers, AHandOverFromAProcessThatIsGoneUsesTheCopy)
{
  CountingRunner runner;
  Pair pair;
  const Member third = MakeMember("g3", 21103);
  pair.mPlace.Join(third);
  TestGateway three(pair.mPlace, third);
  STRCMP_EQUAL("1",
               (*pair.mOne)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mOne.reset();
  pair.mPlace.Own("key/", third, 2, Acquisition::HandOver);
  STRCMP_EQUAL("1", three->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against keys that are lost when a successor passes a shard on at once,
// before it has used it.
TEST(Peers, ASuccessorThatPassesAShardOnAtOncePassesTheCopyOn)
{
  CountingRunner runner;
  Pair pair;
  const Member third = MakeMember("g3", 21103);
  pair.mPlace.Join(third);
  TestGateway three(pair.mPlace, third);
  STRCMP_EQUAL("1",
               (*pair.mOne)->Handle(MakeRequest("/order", "k")).mBody.c_str());
  pair.mOne.reset();
  for (std::uint32_t i = 0; i < kKeyShards; ++i) {
    CHECK_TRUE((*pair.mTwo)->Quiescent(KeyShardId(i)));
  }
  pair.mPlace.Own("key/", third, 3, Acquisition::HandOver);
  STRCMP_EQUAL("1", three->Handle(MakeRequest("/order", "k")).mBody.c_str());
  LONGS_EQUAL(1, runner.mOrders.load());
}

// Guards against a key that runs without a copy at the named successor, which
// would run it again after a takeover.
TEST(Peers, RefusesNotRunWhenTheSuccessorDoesNotConfirm)
{
  CountingRunner runner;
  Pair pair;
  pair.mPlace.SetSuccessor(pair.mFirst, MakeMember("gone", 21199));
  const HttpReply reply = (*pair.mOne)->Handle(MakeRequest("/order", "k"));
  LONGS_EQUAL(503, reply.mStatus);
  STRCMP_EQUAL("refused", OutcomeHeader(reply).c_str());
  LONGS_EQUAL(0, runner.mOrders.load());
}
