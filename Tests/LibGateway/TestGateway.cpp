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

constexpr std::uint16_t kRunner = 21001;
constexpr std::uint16_t kOtherRunner = 21002;
constexpr std::uint16_t kGateway = 21100;

/// Blocks until opened.
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

/// One gateway that owns everything.
struct Single
{
  TestPlace mPlace;
  Member mSelf = MakeMember("g1", kGateway);
  std::unique_ptr<TestGateway> mGateway;

  explicit Single(const std::vector<std::uint16_t>& aRunners)
  {
    for (const std::uint16_t port : aRunners) {
      mPlace.AddRunner(port);
    }
    mPlace.Own("", mSelf);
    mPlace.Join(mSelf);
    mGateway = std::make_unique<TestGateway>(mPlace, mSelf);
    mGateway->WaitUntilServing();
  }

  HttpReply Order(const std::string& aKey = {},
                  const std::string& aDeadline = {})
  {
    return (*mGateway)->Handle(MakeRequest("/order", aKey, aDeadline));
  }
};

void
WaitFor(const std::function<bool()>& aCondition)
{
  constexpr int kMostTries = 1000;
  for (int i = 0; i < kMostTries && !aCondition(); ++i) {
    std::this_thread::sleep_for(Millis(5));
  }
  CHECK_TRUE(aCondition());
}

} // namespace

TEST_GROUP(Gateway){};

// Guards against answers without an id or outcome, and against changed
// answers.
TEST(Gateway, CarriesARequestToARunnerAndItsAnswerBack)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "at " + aRequest.substr(0, 11));
  });
  Single single({ kRunner });
  const HttpReply reply = single.Order();
  LONGS_EQUAL(200, reply.mStatus);
  STRCMP_EQUAL("at POST /order", reply.mBody.c_str());
  STRCMP_EQUAL("answered", OutcomeHeader(reply).c_str());
  CHECK_FALSE(FindHeader(reply.mHeaders, kRequestIdHeader).empty());
}

// Guards against a runner that gets more than 8 requests at once.
TEST(Gateway, KeepsTheSlotLimitUnderConcurrency)
{
  std::atomic<int> running{ 0 };
  std::atomic<int> most{ 0 };
  ScriptedRunner runner(kRunner, [&](const std::string& aRequest) {
    const int now = ++running;
    int seen = most;
    while (seen < now && !most.compare_exchange_weak(seen, now)) {
    }
    std::this_thread::sleep_for(Millis(5));
    --running;
    return AnswerTo(aRequest, "x");
  });
  Single single({ kRunner });
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

// Guards against a second run of an order whose connection was closed after
// the runner had read it.
TEST(Gateway, AnOrderThatWasReadAndDroppedArrivesOnceAndIsUnknown)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    return IsOrder(aRequest) ? std::string() : AnswerTo(aRequest, "x");
  });
  Single single({ kRunner });
  const int before = runner.Arrivals();
  const HttpReply reply = single.Order();
  LONGS_EQUAL(504, reply.mStatus);
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  LONGS_EQUAL(1, runner.Arrivals() - before);
}

// Guards against a truncated answer that is passed on as complete.
TEST(Gateway, ATruncatedAnswerIsUnknown)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    const std::string whole = AnswerTo(aRequest, "a whole answer");
    return IsOrder(aRequest) ? whole.substr(0, whole.size() - 5) : whole;
  });
  Single single({ kRunner });
  STRCMP_EQUAL("unknown", OutcomeHeader(single.Order()).c_str());
}

// Guards against the answer of another request that reaches this caller.
TEST(Gateway, AnAnswerWithAnotherRequestsIdIsNotPassedOn)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    if (!IsOrder(aRequest)) {
      return AnswerTo(aRequest, "x");
    }
    return AnswerTo("\r\nPaddle-Request-Id: other\r\n", "somebody else's");
  });
  Single single({ kRunner });
  const HttpReply reply = single.Order();
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  CHECK_TRUE(reply.mBody.find("somebody") == std::string::npos);
}

// Guards against requests that fail because one of two runners is down, and
// against a refusal "not run" that is not true.
TEST(Gateway, ARefusedConnectionIsRetriedElsewhere)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "x");
  });
  Single single({ kRunner, kOtherRunner }); // Nobody listens on the second.
  const int before = runner.Arrivals();
  constexpr int kOrders = 10;
  for (int i = 0; i < kOrders; ++i) {
    LONGS_EQUAL(200, single.Order().mStatus);
  }
  LONGS_EQUAL(kOrders, runner.Arrivals() - before);
}

// Guards against "unknown" where no runner was reached, so that the caller
// doesn't know that a repeat is safe.
TEST(Gateway, RefusesNotRunWhenNoRunnerCanBeReached)
{
  TestPlace place;
  const Member self = MakeMember("g1", kGateway);
  place.AddRunner(kOtherRunner);
  place.Own("", self);
  TestGateway gateway(place, self);
  for (int i = 0; i < 5; ++i) {
    const HttpReply reply = gateway->Handle(MakeRequest("/order"));
    LONGS_EQUAL(503, reply.mStatus);
    STRCMP_EQUAL("refused", OutcomeHeader(reply).c_str());
  }
}

// Guards against an order that runs twice because the caller repeated it.
TEST(Gateway, ADuplicateKeyRunsOnceAndGetsTheSameAnswer)
{
  Gate gate;
  std::atomic<int> orders{ 0 };
  ScriptedRunner runner(kRunner, [&](const std::string& aRequest) {
    if (!IsOrder(aRequest)) {
      return AnswerTo(aRequest, "x");
    }
    const int number = ++orders;
    gate.Wait();
    return AnswerTo(aRequest, "order " + std::to_string(number));
  });
  Single single({ kRunner });
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

// Guards against the answer of one customer that reaches another who chose
// the same key.
TEST(Gateway, KeysOfDifferentCustomersDiffer)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    return AnswerTo(aRequest, HeaderOf(aRequest, "Paddle-Customer"));
  });
  Single single({ kRunner });
  for (const char* customer : { "brewer", "grower", "brewer" }) {
    HttpRequest request = MakeRequest("/order", "k1");
    request.mHeaders.emplace_back(kCustomerHeader, customer);
    STRCMP_EQUAL(customer, (*single.mGateway)->Handle(request).mBody.c_str());
  }
}

// Guards against a key that stays blocked although its order was refused.
TEST(Gateway, AKeyMayBeUsedAgainAfterARefusal)
{
  TestPlace place;
  const Member self = MakeMember("g1", kGateway);
  place.AddRunner(kRunner);
  place.Own("", self);
  TestGateway gateway(place, self);
  const HttpReply refused = gateway->Handle(MakeRequest("/order", "k1"));
  STRCMP_EQUAL("refused", OutcomeHeader(refused).c_str());
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "x");
  });
  gateway.WaitUntilServing();
  LONGS_EQUAL(200, gateway->Handle(MakeRequest("/order", "k1")).mStatus);
}

// Guards against a caller that waits for ever on a silent connection, and
// against judging the runner without a probe.
TEST(Gateway, ASilentConnectionTimesOutAndTheProbeDecides)
{
  Gate gate;
  ScriptedRunner runner(kRunner, [&](const std::string& aRequest) {
    if (IsOrder(aRequest)) {
      gate.Wait();
    }
    return AnswerTo(aRequest, "x");
  });
  Single single({ kRunner });
  const HttpReply reply = single.Order({}, "100");
  STRCMP_EQUAL("unknown", OutcomeHeader(reply).c_str());
  WaitFor([&] { return runner.Probes() >= 1; });
  // The probe succeeded, so the runner still gets requests.
  LONGS_EQUAL(200, (*single.mGateway)->Handle(MakeRequest("/read")).mStatus);
  gate.Open();
}

// Guards against requests to a runner of which every new connection is
// silent.
TEST(Gateway, ARunnerWhoseProbesFailGetsNoRequests)
{
  std::atomic<bool> silent{ false };
  Gate gate;
  ScriptedRunner runner(kRunner, [&](const std::string& aRequest) {
    if (silent) {
      gate.Wait();
    }
    return AnswerTo(aRequest, "x");
  });
  Single single({ kRunner });
  silent = true;
  STRCMP_EQUAL("unknown", OutcomeHeader(single.Order({}, "100")).c_str());
  WaitFor([&] { return single.Order({}, "50").mStatus == 503; });
  silent = false;
  gate.Open();
  single.mGateway->WaitUntilServing();
}

// Guards against a stop that cuts a request in flight.
TEST(Gateway, DrainCutsNoRequest)
{
  Gate gate;
  std::atomic<bool> entered{ false };
  ScriptedRunner runner(kRunner, [&](const std::string& aRequest) {
    if (IsOrder(aRequest)) {
      entered = true;
      gate.Wait();
    }
    return AnswerTo(aRequest, "whole");
  });
  Single single({ kRunner });
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

// Guards against watches that keep a leaving process alive or are cut.
TEST(Gateway, AWatchGetsACompleteAnswerOnDrain)
{
  Gate gate;
  std::atomic<bool> entered{ false };
  ScriptedRunner runner(kRunner, [&](const std::string& aRequest) {
    if (aRequest.starts_with("POST /watch")) {
      entered = true;
      gate.Wait();
    }
    return AnswerTo(aRequest, "x");
  });
  Single single({ kRunner });
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

// Guards against a decision that can't be explained to its customer.
TEST(Gateway, StoresARecordOfEachDecision)
{
  ScriptedRunner runner(kRunner, [](const std::string& aRequest) {
    return AnswerTo(aRequest, "x");
  });
  Single single({ kRunner });
  HttpRequest request = MakeRequest("/order");
  request.mHeaders.emplace_back(kCustomerHeader, "grower 7");
  const HttpReply reply = (*single.mGateway)->Handle(request);
  const std::string id(FindHeader(reply.mHeaders, kRequestIdHeader));
  WaitFor(
    [&] { return single.mPlace.Records().find(id) != std::string::npos; });
  const std::string records = single.mPlace.Records();
  CHECK_TRUE(records.find("grower 7") != std::string::npos);
  CHECK_TRUE(records.find("\"rule\":\"free-slot\"") != std::string::npos);
}
