#include "GatewayFixture.h"
#include "ScriptedRunner.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <thread>

#include <LibGateway/GatewayMessage.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::uint16_t kRunnerPort = 21001;
constexpr std::uint16_t kOtherRunnerPort = 21002;
constexpr std::uint16_t kGatewayPort = 21100;

/// Blocks the threads that call Wait() until Open() is called.
class Gate
{
public:
  void Open()
  {
    std::lock_guard lock(mMutex);
    mOpen = true;
    mChanged.notify_all();
  }
  void Wait()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mOpen; });
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mOpen = false;
};

bool
IsOrder(const std::string& aRequest)
{
  return aRequest.starts_with("POST /order");
}

/// One gateway that owns all shards.
struct SingleGateway
{
  FakeCluster mCluster;
  Member mSelf = MakeMember("g1", kGatewayPort);
  std::unique_ptr<TestGateway> mGateway;

  explicit SingleGateway(const std::vector<std::uint16_t>& aRunners)
  {
    for (const std::uint16_t port : aRunners) {
      mCluster.AddRunner(port);
    }
    mCluster.SetOwner("", mSelf);
    mCluster.AddMember(mSelf);
    mGateway = std::make_unique<TestGateway>(mCluster, mSelf);
    mGateway->WaitUntilServing();
  }

  HttpReply Order(const std::string& aKey = {},
                  const std::string& aDeadline = {})
  {
    return (*mGateway)->Handle(MakeRequest("/order", aKey, aDeadline));
  }
};

/// Waits up to 5 s for a condition and checks that it holds.
void
WaitFor(const std::function<bool()>& aCondition)
{
  constexpr int kMaxAttempts = 1000;
  for (int i = 0; i < kMaxAttempts && !aCondition(); ++i) {
    std::this_thread::sleep_for(Millis(5));
  }
  CHECK_TRUE(aCondition());
}

} // namespace

TEST_GROUP(Gateway){};

// Guards against replies without a request id or outcome, and against answers
// that the gateway alters.
TEST(Gateway, CarriesARequestToARunnerAndItsAnswerBack)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "at " + aRequest.substr(0, 11));
  });
  SingleGateway single({ kRunnerPort });
  const HttpReply reply = single.Order();
  LONGS_EQUAL(200, reply.mStatus);
  STRCMP_EQUAL("at POST /order", reply.mBody.c_str());
  STRCMP_EQUAL("answered", OutcomeHeader(reply).c_str());
  CHECK_FALSE(FindHeader(reply.mHeaders, kRequestIdHeader).empty());
}

// Guards against more than 8 requests at once at a runner, which is its number
// of slots.
TEST(Gateway, KeepsTheSlotLimitUnderConcurrency)
{
  std::atomic<int> running{ 0 };
  std::atomic<int> most{ 0 };
  ScriptedRunner runner(kRunnerPort, [&](const std::string& aRequest) {
    const int now = ++running;
    int seen = most;
    while (seen < now && !most.compare_exchange_weak(seen, now)) {
    }
    std::this_thread::sleep_for(Millis(5));
    --running;
    return AnswerTo(aRequest, "x");
  });
  SingleGateway single({ kRunnerPort });
  std::vector<std::thread> callers;
  std::atomic<int> answered{ 0 };
  constexpr int kCallers = 24;
  constexpr int kRequests = 10;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      for (int k = 0; k < kRequests; ++k) {
        answered += single.Order().mStatus == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(kCallers * kRequests, answered.load());
  CHECK_TRUE(most <= 8);
  CHECK_TRUE(most > 1);
}

// Guards against a second run of an order when the runner reads it and closes
// the connection without an answer.
TEST(Gateway, AnOrderThatWasReadAndDroppedArrivesOnceAndIsUnknown)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    return IsOrder(aRequest) ? std::string() : AnswerTo(aRequest, "x");
  });
  SingleGateway single({ kRunnerPort });
  const int before = runner.Arrivals();
  const HttpReply reply = single.Order();
  LONGS_EQUAL(504, reply.mStatus);
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  LONGS_EQUAL(1, runner.Arrivals() - before);
}

// Guards against a truncated answer that is passed on as if it were complete.
TEST(Gateway, ATruncatedAnswerIsUnknown)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    const std::string whole = AnswerTo(aRequest, "a whole answer");
    return IsOrder(aRequest) ? whole.substr(0, whole.size() - 5) : whole;
  });
  SingleGateway single({ kRunnerPort });
  STRCMP_EQUAL("unknown", OutcomeHeader(single.Order()).c_str());
}

// Guards against a caller that receives the answer to another request.
TEST(Gateway, AnAnswerWithAnotherRequestsIdIsNotPassedOn)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    if (!IsOrder(aRequest)) {
      return AnswerTo(aRequest, "x");
    }
    return AnswerTo("\r\nPaddle-Request-Id: other\r\n", "somebody else's");
  });
  SingleGateway single({ kRunnerPort });
  const HttpReply reply = single.Order();
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  CHECK_TRUE(reply.mBody.find("somebody") == std::string::npos);
}

// Guards against requests that fail because one of two runners is down, and
// against a try that counts as not run although the runner received it, so that
// the retry runs the request twice.
TEST(Gateway, ARefusedConnectionIsRetriedElsewhere)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "x");
  });
  SingleGateway single(
    { kRunnerPort, kOtherRunnerPort }); // Nobody listens on the second.
  const int before = runner.Arrivals();
  constexpr int kOrders = 10;
  for (int i = 0; i < kOrders; ++i) {
    LONGS_EQUAL(200, single.Order().mStatus);
  }
  LONGS_EQUAL(kOrders, runner.Arrivals() - before);
}

// Guards against the outcome "unknown" when no runner could be reached; the
// caller could not tell that it is safe to repeat the request.
TEST(Gateway, RefusesNotRunWhenNoRunnerCanBeReached)
{
  FakeCluster cluster;
  const Member self = MakeMember("g1", kGatewayPort);
  cluster.AddRunner(kOtherRunnerPort);
  cluster.SetOwner("", self);
  TestGateway gateway(cluster, self);
  for (int i = 0; i < 5; ++i) {
    const HttpReply reply = gateway->Handle(MakeRequest("/order"));
    LONGS_EQUAL(503, reply.mStatus);
    STRCMP_EQUAL("refused", OutcomeHeader(reply).c_str());
  }
}

// Guards against an order that runs twice because the caller repeated it with
// the same key, during the first run or after it.
TEST(Gateway, ADuplicateKeyRunsOnceAndGetsTheSameAnswer)
{
  Gate gate;
  std::atomic<int> orders{ 0 };
  ScriptedRunner runner(kRunnerPort, [&](const std::string& aRequest) {
    if (!IsOrder(aRequest)) {
      return AnswerTo(aRequest, "x");
    }
    const int number = ++orders;
    gate.Wait();
    return AnswerTo(aRequest, "order " + std::to_string(number));
  });
  SingleGateway single({ kRunnerPort });
  HttpReply first;
  HttpReply during;
  std::thread one([&] { first = single.Order("k1"); });
  WaitFor([&] { return orders == 1; });
  std::thread two([&] { during = single.Order("k1"); });
  gate.Open();
  one.join();
  two.join();
  const HttpReply after = single.Order("k1");
  STRCMP_EQUAL("order 1", first.mBody.c_str());
  STRCMP_EQUAL("order 1", during.mBody.c_str());
  STRCMP_EQUAL("order 1", after.mBody.c_str());
  LONGS_EQUAL(1, orders.load());
  STRCMP_EQUAL("order 2", single.Order("k2").mBody.c_str());
}

// Guards against a client account that receives the answer stored for another
// account that chose the same key.
TEST(Gateway, SeparatesEqualKeysOfDifferentClientAccounts)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    return AnswerTo(aRequest, HeaderOf(aRequest, "Paddle-Customer"));
  });
  SingleGateway single({ kRunnerPort });
  for (const char* account : { "brewer", "grower", "brewer" }) {
    HttpRequest request = MakeRequest("/order", "k1");
    request.mHeaders.emplace_back(kClientAccountHeader, account);
    STRCMP_EQUAL(account, (*single.mGateway)->Handle(request).mBody.c_str());
  }
}

// Guards against a key that can't be used again although its order was refused
// and did not run.
TEST(Gateway, AKeyMayBeUsedAgainAfterARefusal)
{
  FakeCluster cluster;
  const Member self = MakeMember("g1", kGatewayPort);
  cluster.AddRunner(kRunnerPort);
  cluster.SetOwner("", self);
  TestGateway gateway(cluster, self);
  const HttpReply refused = gateway->Handle(MakeRequest("/order", "k1"));
  STRCMP_EQUAL("refused", OutcomeHeader(refused).c_str());
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "x");
  });
  gateway.WaitUntilServing();
  LONGS_EQUAL(200, gateway->Handle(MakeRequest("/order", "k1")).mStatus);
}

// Guards against a caller that waits forever when a runner does not answer, and
// against a runner that is taken out of use after a time-out without a probe.
TEST(Gateway, AnUnansweredRequestTimesOutAndAProbeDecidesAboutTheRunner)
{
  Gate gate;
  ScriptedRunner runner(kRunnerPort, [&](const std::string& aRequest) {
    if (IsOrder(aRequest)) {
      gate.Wait();
    }
    return AnswerTo(aRequest, "x");
  });
  SingleGateway single({ kRunnerPort });
  const HttpReply reply = single.Order({}, "100");
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  WaitFor([&] { return runner.Probes() >= 1; });
  // The probe succeeded, so the runner still gets requests.
  LONGS_EQUAL(200, (*single.mGateway)->Handle(MakeRequest("/read")).mStatus);
  gate.Open();
}

// Guards against requests that are sent to a runner that answers on no
// connection, probes included.
TEST(Gateway, ARunnerWhoseProbesFailGetsNoRequests)
{
  std::atomic<bool> silent{ false };
  Gate gate;
  ScriptedRunner runner(kRunnerPort, [&](const std::string& aRequest) {
    if (silent) {
      gate.Wait();
    }
    return AnswerTo(aRequest, "x");
  });
  SingleGateway single({ kRunnerPort });
  silent = true;
  STRCMP_EQUAL("unknown", OutcomeHeader(single.Order({}, "100")).c_str());
  WaitFor([&] { return single.Order({}, "50").mStatus == 503; });
  silent = false;
  gate.Open();
  single.mGateway->WaitUntilServing();
}

// Guards against a shutdown that interrupts a request in flight.
TEST(Gateway, DrainInterruptsNoRequest)
{
  Gate gate;
  std::atomic<bool> entered{ false };
  ScriptedRunner runner(kRunnerPort, [&](const std::string& aRequest) {
    if (IsOrder(aRequest)) {
      entered = true;
      gate.Wait();
    }
    return AnswerTo(aRequest, "whole");
  });
  SingleGateway single({ kRunnerPort });
  HttpClient client({});
  HttpReply reply;
  std::thread caller([&] {
    const auto end = client.Execute(single.mSelf.mAddress,
                                    MakeRequest("/order"),
                                    Millis(5000),
                                    ConnectionUse::Fresh);
    if (Succeeded(end)) {
      reply = ValueOf(end);
    }
  });
  WaitFor([&] { return entered.load(); });
  TestGateway& gateway = *single.mGateway;
  gateway->StartLeaving();
  LONGS_EQUAL(
    503,
    gateway->Handle({ "GET", "/savorypaddle/health", "", {}, "" }).mStatus);
  gateway->RefuseRequests();
  STRCMP_EQUAL("refused", OutcomeHeader(single.Order()).c_str());
  std::thread opener([&] { gate.Open(); });
  CHECK_TRUE(gateway.Server().DrainAndStop(Millis(5000)));
  opener.join();
  caller.join();
  STRCMP_EQUAL("whole", reply.mBody.c_str());
}

// Guards against watches that delay a shutdown or end without a complete
// answer.
TEST(Gateway, AWatchGetsACompleteAnswerOnDrain)
{
  Gate gate;
  std::atomic<bool> entered{ false };
  ScriptedRunner runner(kRunnerPort, [&](const std::string& aRequest) {
    if (aRequest.starts_with("POST /watch")) {
      entered = true;
      gate.Wait();
    }
    return AnswerTo(aRequest, "x");
  });
  SingleGateway single({ kRunnerPort });
  TestGateway& gateway = *single.mGateway;
  HttpReply reply;
  std::thread caller([&] { reply = gateway->Handle(MakeRequest("/watch")); });
  WaitFor([&] { return entered.load(); });
  gateway->StartLeaving();
  caller.join();
  LONGS_EQUAL(200, reply.mStatus);
  STRCMP_EQUAL("answered", OutcomeHeader(reply).c_str());
  STRCMP_EQUAL("again",
               std::string(FindHeader(reply.mHeaders, kWatchHeader)).c_str());
  LONGS_EQUAL(1, gateway->AbandonedWatches());
  gate.Open();
}

// Guards against decisions without a record, which could not be explained to
// the client account concerned.
TEST(Gateway, StoresARecordOfEachDecision)
{
  ScriptedRunner runner(kRunnerPort, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "x");
  });
  SingleGateway single({ kRunnerPort });
  HttpRequest request = MakeRequest("/order");
  request.mHeaders.emplace_back(kClientAccountHeader, "grower 7");
  const HttpReply reply = (*single.mGateway)->Handle(request);
  const std::string id(FindHeader(reply.mHeaders, kRequestIdHeader));
  WaitFor(
    [&] { return single.mCluster.Records().find(id) != std::string::npos; });
  const std::string records = single.mCluster.Records();
  CHECK_TRUE(records.find("grower 7") != std::string::npos);
  CHECK_TRUE(records.find("\"rule\":\"free-slot\"") != std::string::npos);
}
