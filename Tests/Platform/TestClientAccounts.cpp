#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <LibNode/ShardState.h>

#include "../LibNode/ClusterSimulation.h"

#include "../../platform/ClientCalls.h"
#include "../../platform/Directory.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr std::size_t kPublic = 1; ///< Index of the public route.
constexpr Millis kStep{ 25 };
constexpr Millis kRevocationBound{ 5000 };
/// Beyond the wait for a change, after which a read without an answer fails.
constexpr Millis kReadMargin{ 700 };

const std::string kJob = "0123456789abcdef";
const std::string kBody =
  R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":1000}]})";

} // namespace

/// Nodes that use the platform's directory over a fake store. The configuration
/// has the accounts a and b, each with one key at first, and a public route.
TEST_GROUP(ClientAccounts)
{
  ClusterSimulation mCluster;
  EventLog mLog{ "test", EventLogLimits{ 10000, 10000, 1UL << 24 } };
  std::int64_t mVersion = 0;
  /// Keys that the stored configuration has, by account.
  std::map<std::string, std::string> mKeys{ { "a", "key-of-a" },
                                            { "b", "key-of-b" } };
  /// When the store acknowledged a configuration without this key. An account
  /// gets a new key each time, so that a withdrawn key stays withdrawn.
  std::map<std::string, MonotonicTime> mWithdrawnAt;
  Millis mBound = kRevocationBound;

  void setup() override
  {
    Publish(++mVersion);
  }

  /// Stores a configuration with the keys of mKeys.
  void Publish(std::int64_t aVersion)
  {
    std::string accounts;
    for (const auto& [account, key] : mKeys) {
      accounts += accounts.empty() ? "" : ",";
      accounts += R"({"name":")" + account;
      accounts += R"(","api_keys":[")" + key;
      accounts += R"("],"weight":1})";
    }
    Put(R"({"version":)" + std::to_string(aVersion) +
        R"(,"routes":[{"name":"queue","host":"h","path_prefix":"/p/",)"
        R"("service":"service"},{"name":"open","host":"h","path_prefix":)"
        R"("/open/","service":"service","public":true}],"tenants":[)" +
        accounts + "]}");
  }

  void Put(const std::string& aConfiguration)
  {
    StoreTransaction transaction;
    transaction.mPuts.push_back(
      { "op", "", "config", aConfiguration, 0, false });
    mCluster.mStore.Port().mTransact(
      transaction, Millis(1000), [](const TransactionOutcome&) {});
    mCluster.mStore.Run();
  }

  /// Replaces the key of an account.
  void Withdraw(const std::string& aAccount)
  {
    const std::string old = std::exchange(
      mKeys[aAccount], "key-of-" + aAccount + "-" + std::to_string(mVersion));
    Publish(++mVersion);
    mWithdrawnAt[old] = mCluster.mNow;
  }

  void Start(const std::string& aName)
  {
    mCluster.StartNode(aName);
    NodeContext& context = mCluster.mNodes.at(aName).mContext;
    context.mLog = &mLog;
    context.mSettings.mMaxKeyCopyAge = MaxKeyCopyAge(mBound);
    context.mStore = TimedStore(aName);
    const auto readRunners = context.mDirectory.mReadRunners;
    context.mDirectory =
      platform::MakeDirectoryPort(context.mStore, [](const std::string&) {});
    context.mDirectory.mReadRunners = readRunners;
  }

  /// @return the node's store port, in which waits for changes end in time
  StorePort TimedStore(const std::string& aName)
  {
    StorePort port = mCluster.mNodes.at(aName).mContext.mStore;
    const std::uint64_t process = mCluster.mNodes.at(aName).mProcess;
    port.mWaitForChanges = [this, base = port.mWaitForChanges, aName, process](
                             const std::string& aTable,
                             std::int64_t aAfter,
                             Millis aWait,
                             const ReadHandler& aDone) {
      ClusterSimulation::SimulatedNode& node = mCluster.mNodes.at(aName);
      const auto deliver =
        [&node, process, aDone, answered = std::make_shared<bool>(false)](
          const ReadOutcome& aRead) {
          if (std::exchange(*answered, true) || !node.mNode ||
              node.mProcess != process) {
            return;
          }
          if (node.mFrozen) {
            node.mPendingAnswers.push_back([aDone, aRead] { aDone(aRead); });
          } else {
            aDone(aRead);
          }
        };
      const auto fail = [this, deliver](Millis aAfterTime) {
        mCluster.mDeadlines.Add(mCluster.mNow + aAfterTime,
                                [deliver] { deliver({}); });
      };
      if (node.mCutFromStore) {
        fail(aWait + kReadMargin);
        return;
      }
      // Changes pass through the simulation, which holds them back if the node
      // is cut off by then.
      base(aTable, aAfter, aWait, deliver);
      mCluster.mDeadlines.Add(mCluster.mNow + aWait,
                              [this, &node, aAfter, deliver, fail] {
                                if (node.mCutFromStore) {
                                  fail(kReadMargin);
                                  return;
                                }
                                ReadOutcome nothing;
                                nothing.mResult = ReadResult::Read;
                                nothing.mVersion = aAfter;
                                nothing.mClockMs = mCluster.mStore.mClock();
                                deliver(nothing);
                              });
    };
    return port;
  }

  Node* NodeOf(const std::string& aName)
  {
    return mCluster.mNodes.at(aName).mNode.get();
  }

  /// @return the verdict of a node about a call
  CallVerdict Verdict(
    const std::string& aName, const std::string& aKey, std::size_t aRoute = 0)
  {
    const std::string value = "Bearer " + aKey;
    const std::vector<std::string_view> values{ value };
    const std::optional<Configuration>& configuration = NodeOf(aName)->Config();
    return configuration
             ? NodeOf(aName)
                 ->DecideCall(configuration->mRoutes[aRoute], values)
                 .mVerdict
             : CallVerdict::CopyTooOld;
  }

  bool Admits(const std::string& aName, const std::string& aKey)
  {
    return Verdict(aName, aKey) == CallVerdict::Admitted;
  }

  /// Advances the clock. Checks all the time that no node admits a key later
  /// than the revocation bound.
  void Advance(Millis aTime)
  {
    for (Millis passed(0); passed < aTime; passed += kStep) {
      mCluster.AdvanceTime(kStep);
      CheckWithdrawnKeys();
    }
  }

  void CheckWithdrawnKeys()
  {
    for (const auto& [name, node] : mCluster.mNodes) {
      for (const auto& [key, at] : mWithdrawnAt) {
        const bool mayServe = mCluster.mNow <= at + mBound;
        CHECK_TRUE(mayServe || !node.mNode || node.mFrozen ||
                   !Admits(name, key));
      }
    }
  }

  /// @param aKey empty: none
  /// @return the response of node n to a request
  HttpReply Call(
    const char* aMethod, const std::string& aPath, const std::string& aKey)
  {
    HttpIncomingRequest request{ aMethod, aPath, "h", kBody, {} };
    if (!aKey.empty()) {
      request.mHeaders.emplace_back("authorization", "Bearer " + aKey);
    }
    std::optional<HttpReply> reply;
    platform::HandleClientCall(
      *NodeOf("n"),
      mCluster.mNodes.at("n").mContext.mSettings,
      request,
      [&reply](const HttpReply& aReply) { reply = aReply; });
    for (int i = 0; i < 100 && !reply; ++i) {
      Advance(kStep);
    }
    return reply.value_or(HttpReply{});
  }

  int StatusOf(
    const char* aMethod, const std::string& aPath, const std::string& aKey)
  {
    return Call(aMethod, aPath, aKey).mStatus;
  }

  /// Checks that the log has a line with these fields.
  void CheckLogged(const std::string& aFields)
  {
    STRCMP_CONTAINS(aFields.c_str(), mLog.Pending().c_str());
  }

  /// Checks that no key is in the log or the metrics.
  void CheckNoKeyIsTold()
  {
    for (const std::string& text :
         { mLog.Pending(), mCluster.mMetrics.Page() }) {
      CHECK_TRUE(text.find("key-of-") == std::string::npos);
    }
  }
};

// Guards against calls that are served without a valid key, and against answers
// that don't tell the client why, or whether to come back.
TEST(ClientAccounts, EachMethodNeedsAKey)
{
  Start("n");
  Advance(Seconds(10));
  const std::string path = "/p/" + kJob;
  for (const auto& [method, target] : { std::pair{ "GET", std::string("/p/") },
                                        std::pair{ "POST", path },
                                        std::pair{ "GET", path },
                                        std::pair{ "DELETE", path } }) {
    for (const char* key : { "", "key-of-nobody" }) {
      const HttpReply reply = Call(method, target, key);
      LONGS_EQUAL(401, reply.mStatus);
      STRCMP_EQUAL("WWW-Authenticate", reply.mHeaders.at(0).first.c_str());
      STRCMP_EQUAL("Bearer", reply.mHeaders.at(0).second.c_str());
    }
  }
  LONGS_EQUAL(0, mCluster.mStore.RowsWithPrefix(kStatusTable, kJob));
  LONGS_EQUAL(404, StatusOf("GET", "/none/", ""));
  LONGS_EQUAL(200, StatusOf("GET", "/p/", "key-of-a"));
  LONGS_EQUAL(200, StatusOf("GET", "/open/", ""));
  LONGS_EQUAL(200, StatusOf("POST", path, "key-of-a"));
  LONGS_EQUAL(200, StatusOf("GET", path, "key-of-a"));
  Advance(Seconds(2));
  CheckLogged("event=request_refused status=401 cause=key_missing method=GET "
              "host=h path=/p/ route=queue version=1 configuration_age_ms=");
  CheckLogged("event=request_refused status=401 cause=key_unknown");
  CheckLogged("event=request_refused cause=key_unknown left_out=3");
  CheckNoKeyIsTold();
}

// Guards against a client that learns of the jobs of another account, cancels
// them or takes their ids, also after they have ended and on public routes.
TEST(ClientAccounts, AJobBelongsToItsAccount)
{
  Start("n");
  Advance(Seconds(10));
  const std::string path = "/p/" + kJob;
  const std::string open = "/open/" + kJob;
  LONGS_EQUAL(200, StatusOf("POST", path, "key-of-a"));
  const auto check = [&] {
    for (const char* method : { "GET", "POST", "DELETE" }) {
      LONGS_EQUAL(403, StatusOf(method, path, "key-of-b"));
      LONGS_EQUAL(403, StatusOf(method, open, "key-of-b"));
      LONGS_EQUAL(403, StatusOf(method, open, ""));
    }
    LONGS_EQUAL(200, StatusOf("GET", path, "key-of-a"));
    LONGS_EQUAL(200, StatusOf("GET", open, "key-of-a"));
    LONGS_EQUAL(200, StatusOf("POST", path, "key-of-a"));
  };
  check();
  Advance(Seconds(1));
  mCluster.EndRun(kJob + ".0.0.0", dispatch::EndKind::Done);
  Advance(Seconds(2));
  STRCMP_EQUAL("{\"state\":\"completed\"}",
               Call("GET", path, "key-of-a").mBody.c_str());
  check();
  LONGS_EQUAL(3, mCluster.mMetrics.Counter("account_accepted_a"));
  LONGS_EQUAL(0, mCluster.mMetrics.Counter("account_refused_a"));
  LONGS_EQUAL(4, mCluster.mMetrics.Counter("account_refused_b"));
  CheckLogged("status=403 cause=other_account method=GET host=h path=" + path +
              " account=b route=queue");
  CheckNoKeyIsTold();
}

// Guards against calls that are refused although their job belongs to no
// account, as in rows of earlier versions and on public routes, and against an
// account's job that anybody may cancel because a cancellation lost its name.
TEST(ClientAccounts, JobsWithoutAnAccountAreServedToAll)
{
  Start("n");
  Advance(Seconds(10));
  LONGS_EQUAL(200, StatusOf("POST", "/open/" + kJob, ""));
  LONGS_EQUAL(200, StatusOf("GET", "/p/" + kJob, "key-of-b"));
  LONGS_EQUAL(200, StatusOf("DELETE", "/open/" + kJob, "key-of-a"));
  const std::string own = "fedcba9876543210";
  LONGS_EQUAL(200, StatusOf("POST", "/open/" + own, "key-of-a"));
  LONGS_EQUAL(200, StatusOf("DELETE", "/open/" + own, "key-of-a"));
  LONGS_EQUAL(403, StatusOf("GET", "/open/" + own, ""));
  Advance(Seconds(2));
  LONGS_EQUAL(403, StatusOf("GET", "/open/" + own, "key-of-b"));
  STRCMP_EQUAL("{\"state\":\"cancelled\"}",
               Call("GET", "/p/" + own, "key-of-a").mBody.c_str());
  // Without accounts, all of this has no effect.
  mKeys.clear();
  Publish(++mVersion);
  Advance(Seconds(2));
  LONGS_EQUAL(200, StatusOf("GET", "/p/" + own, ""));
  LONGS_EQUAL(200, StatusOf("GET", "/p/" + own, "key-of-b"));
}

// Guards against a node that is cut off from the store and admits a withdrawn
// key for ever, or denies a key that it can't know of, or refuses public calls.
TEST(ClientAccounts, ACutOffNodeAdmitsKeysForALimitedTime)
{
  Start("n");
  Start("other");
  Advance(Seconds(10));
  mCluster.CutFromStore("n", true);
  Withdraw("a");
  Advance(Millis(2000));
  CHECK_TRUE(Admits("n", "key-of-a"));
  CHECK_FALSE(Admits("other", "key-of-a"));
  Advance(Millis(3000));
  for (const char* key : { "key-of-a", "key-of-b", "" }) {
    const HttpReply reply = Call("DELETE", "/p/" + kJob, key);
    LONGS_EQUAL(503, reply.mStatus);
    STRCMP_EQUAL("Retry-After", reply.mHeaders.at(0).first.c_str());
  }
  CheckLogged("status=503 cause=copy_too_old method=DELETE host=h path=/p/" +
              kJob + " account=a route=queue version=1");
  CHECK_TRUE(Verdict("n", "key-of-a", kPublic) == CallVerdict::Admitted);
  CHECK_TRUE(Admits("other", mKeys["a"]) && Admits("other", "key-of-b"));
  mCluster.CutFromStore("n", false);
  Advance(Seconds(3));
  CHECK_TRUE(Verdict("n", "key-of-a") == CallVerdict::KeyUnknown);
  CHECK_TRUE(Admits("n", mKeys["a"]) && Admits("n", "key-of-b"));
  CheckNoKeyIsTold();
}

// Guards against a node that has just woken and admits a key by an answer that
// it was sent before it was frozen, or before it has read anything.
TEST(ClientAccounts, AWokenNodeAdmitsNoKeyByAnOldAnswer)
{
  using OnWaking = ClusterSimulation::OnWaking;
  Start("n");
  Start("other");
  for (const OnWaking order : { OnWaking::AnswersFirst, OnWaking::TickFirst }) {
    Advance(Seconds(10));
    const std::string old = mKeys["a"];
    // The answer to the read that the node has sent is without the change.
    mCluster.FreezeNode("n");
    Advance(Millis(1300));
    Withdraw("a");
    Advance(kRevocationBound + kStep);
    mCluster.WakeNode("n", order);
    CHECK_TRUE(Verdict("n", old) == CallVerdict::CopyTooOld);
    CHECK_TRUE(Verdict("n", "key-of-b") == CallVerdict::CopyTooOld);
    Advance(Seconds(3));
    CHECK_TRUE(Verdict("n", old) == CallVerdict::KeyUnknown);
    CHECK_TRUE(Admits("n", "key-of-b"));
  }
}

// Guards against a node that serves calls before it has read a configuration.
TEST(ClientAccounts, ARestartedNodeServesNothingBeforeItsFirstRead)
{
  Start("n");
  Advance(Seconds(10));
  Withdraw("a");
  mCluster.CutFromStore("n", true);
  Start("n");
  for (const char* path : { "/p/", "/open/" }) {
    for (const char* key : { "", "key-of-a", "key-of-b" }) {
      LONGS_EQUAL(503, StatusOf("GET", path, key));
    }
  }
  mCluster.CutFromStore("n", false);
  Advance(Seconds(4));
  CHECK_TRUE(Verdict("n", "key-of-a") == CallVerdict::KeyUnknown);
  CHECK_TRUE(Admits("n", mKeys["a"]));
}

// Guards against a withdrawn key that comes back with an earlier version of the
// configuration.
TEST(ClientAccounts, ALowerVersionBringsNoKeyBack)
{
  Start("n");
  Advance(Seconds(10));
  const std::map<std::string, std::string> before = mKeys;
  Withdraw("a");
  Advance(Seconds(3));
  mKeys = before;
  Publish(mVersion - 1);
  Advance(Seconds(10));
  CHECK_TRUE(Verdict("n", "key-of-a") == CallVerdict::KeyUnknown);
  CHECK_TRUE(Admits("n", "key-of-b"));
}

// Guards against a configuration with an invalid account of which a part comes
// into force, and against a node that stops to serve because of it.
TEST(ClientAccounts, AnInvalidConfigurationChangesNothing)
{
  Start("n");
  Advance(Seconds(10));
  Put(R"({"version":9,"routes":[],"tenants":[{"name":"b","api_keys":["new"],)"
      R"("weight":1},{"name":"a","api_keys":["key-of-b"],"weight":0}]})");
  Advance(Seconds(10));
  CHECK_TRUE(Admits("n", "key-of-a") && Admits("n", "key-of-b"));
  CHECK_FALSE(Admits("n", "new"));
  LONGS_EQUAL(1, NodeOf("n")->ConfigurationInForce().mVersion);
}

// Guards against a node that refuses valid keys while the store answers: a
// confirmation counts from the sending of a read that waits for a change, so
// that the copy is up to two waits old. One answer in between may be lost.
TEST(ClientAccounts, ACalmNodeAdmitsKeysAllTheTime)
{
  for (const Millis bound : { Millis(2500), Millis(5000) }) {
    mBound = bound;
    Start("n");
    Advance(Seconds(10));
    for (int i = 0; i < 24; ++i) {
      Advance(Seconds(4) + i * kStep);
      mCluster.CutFromStore("n", true);
      Advance(kStep);
      mCluster.CutFromStore("n", false);
      for (Millis passed(0); passed < bound; passed += kStep) {
        Advance(kStep);
        CHECK_TRUE(Admits("n", "key-of-a"));
      }
    }
  }
}

// Guards against schedules of faults and changes after which a node admits a
// withdrawn key: Advance() checks it all the time. Afterwards, each node must
// know the keys again.
TEST(ClientAccounts, NoScheduleAdmitsAWithdrawnKey)
{
  const std::vector<std::string> names{ "n", "o", "p" };
  for (unsigned seed = 1; seed <= 20; ++seed) {
    // NOLINTNEXTLINE(cert-msc32-c,cert-msc51-cpp): a fixed seed is intended.
    std::mt19937 random(seed);
    const auto below = [&](int aBound) {
      return std::uniform_int_distribution<int>(0, aBound - 1)(random);
    };
    for (const std::string& name : names) {
      Start(name);
    }
    for (int i = 0; i < 25; ++i) {
      const std::string& name = names[static_cast<std::size_t>(below(3))];
      switch (below(7)) {
        case 0:
          mCluster.FreezeNode(name);
          break;
        case 1:
        case 2:
          mCluster.WakeNode(name,
                            below(2) == 0
                              ? ClusterSimulation::OnWaking::AnswersFirst
                              : ClusterSimulation::OnWaking::TickFirst);
          CheckWithdrawnKeys();
          break;
        case 3:
          Start(name);
          break;
        case 4:
          mCluster.CutFromStore(name, below(3) > 0);
          break;
        default:
          Withdraw(below(2) == 0 ? "a" : "b");
      }
      Advance(kStep * (1 + below(100)));
    }
    for (const std::string& name : names) {
      mCluster.CutFromStore(name, false);
      mCluster.WakeNode(name, ClusterSimulation::OnWaking::TickFirst);
    }
    Advance(Seconds(6));
    for (const std::string& name : names) {
      CHECK_TRUE(Admits(name, mKeys["a"]) && Admits(name, mKeys["b"]));
    }
    mWithdrawnAt.clear();
  }
  CheckNoKeyIsTold();
}

// Guards against a node that denies a key that a newer version has: while its
// reads fail it can't know, also if the age of its copy has no limit.
TEST(ClientAccounts, AStaleNodeDeniesNoKey)
{
  mBound = Seconds(3600); // Advance() checks it.
  Start("n");
  mCluster.mNodes.at("n").mContext.mSettings.mMaxKeyCopyAge.reset();
  Advance(Seconds(10));
  mCluster.CutFromStore("n", true);
  Withdraw("b");
  Advance(Seconds(6));
  for (const std::string& key : { mKeys["b"], std::string() }) {
    const HttpReply reply = Call("DELETE", "/p/" + kJob, key);
    LONGS_EQUAL(503, reply.mStatus);
    STRCMP_EQUAL("Retry-After", reply.mHeaders.at(0).first.c_str());
  }
  CheckLogged("status=503 cause=key_unknown");
  CHECK_TRUE(Admits("n", "key-of-a"));
  mCluster.CutFromStore("n", false);
  Advance(Seconds(3));
  LONGS_EQUAL(401, StatusOf("DELETE", "/p/" + kJob, "key-of-b"));
  // Also just after it has woken, before it has asked again.
  for (const auto order : { ClusterSimulation::OnWaking::AnswersFirst,
                            ClusterSimulation::OnWaking::TickFirst }) {
    mCluster.FreezeNode("n");
    Advance(Seconds(8));
    mCluster.WakeNode("n", order);
    LONGS_EQUAL(503, StatusOf("DELETE", "/p/" + kJob, "key-of-nobody"));
    Advance(Seconds(3));
    LONGS_EQUAL(401, StatusOf("DELETE", "/p/" + kJob, "key-of-nobody"));
  }
  CHECK_TRUE(Admits("n", mKeys["b"]));
}

// Guards against a claim about a job that may be the caller's own: on a public
// route, a node may not know whether the caller's key is valid.
TEST(ClientAccounts, AnUndecidedCallerIsNotDenied)
{
  Start("n");
  Advance(Seconds(10));
  LONGS_EQUAL(200, StatusOf("POST", "/p/" + kJob, "key-of-a"));
  const Caller caller{ {}, JobAccess::Undecided };
  ClientFrontEnd& frontEnd = NodeOf("n")->FrontEnd();
  std::vector<ClientAnswer> answers;
  const auto add = [&](ClientAnswer aAnswer) { answers.push_back(aAnswer); };
  auto job = platform::ParseJob(kJob, "open", kBody);
  frontEnd.Submit(ValueOf(job), add, caller);
  frontEnd.Cancel(kJob, add, caller);
  frontEnd.Status(
    kJob, [&](const StatusAnswer& aAnswer) { add(aAnswer.mAnswer); }, caller);
  Advance(Seconds(1));
  CHECK_TRUE(answers ==
             std::vector<ClientAnswer>({ ClientAnswer::Unknown,
                                         ClientAnswer::NotAccepted,
                                         ClientAnswer::NotAccepted }));
  STRCMP_EQUAL("{\"state\":\"queued\"}",
               Call("GET", "/p/" + kJob, "key-of-a").mBody.c_str());
}
