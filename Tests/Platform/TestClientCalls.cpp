#include <string>
#include <vector>

#include "../LibNode/FakeStore.h"

#include "../../platform/ClientCalls.h"
#include "../../platform/Directory.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

const std::string kJobPath = "/p/0123456789abcdef";

} // namespace

TEST_GROUP(ClientCalls)
{
  FakeStore mStore;
  EventLog mLog{ "test", {} };
  Metrics mMetrics;
  Deadlines mDeadlines;
  NodeContext mContext;
  MonotonicTime mNow{ Seconds(1000) };
  std::unique_ptr<Node> mNode;

  void setup() override
  {
    mContext.mStore = mStore.Port();
    mContext.mDirectory =
      platform::MakeDirectoryPort(mContext.mStore, [](const std::string&) {});
    mContext.mDeadlines = &mDeadlines;
    mContext.mLog = &mLog;
    mContext.mMetrics = &mMetrics;
    mContext.mClock = [this] { return mNow; };
    mNode = std::make_unique<Node>(mContext);
    mNode->Begin();
  }

  void teardown() override
  {
    mNode.reset();
  }

  /// Stores a configuration with one route.
  void StoreConfiguration(int aVersion)
  {
    StoreTransaction transaction;
    transaction.mPuts.push_back({ "op",
                                  "",
                                  "config",
                                  R"({"version":)" + std::to_string(aVersion) +
                                    R"(,"routes":[{"name":"q","host":"h",)"
                                    R"("path_prefix":"/p/","service":"s"}]})",
                                  0,
                                  false });
    mContext.mStore.mTransact(
      transaction, Millis(1000), [](const TransactionOutcome&) {});
    mStore.Run();
  }

  /// Stores a configuration and lets the node read it.
  void ReadConfiguration()
  {
    StoreConfiguration(7);
    mNode->Tick(mNow);
    mStore.Run();
    CHECK_TRUE(mNode->Config().has_value());
  }

  /// @return the status of the response
  int StatusOf(const HttpIncomingRequest& aRequest)
  {
    int status = 0;
    platform::HandleClientCall(
      *mNode, mContext.mSettings, aRequest, [&](const HttpReply& aReply) {
        status = aReply.mStatus;
      });
    return status;
  }

  /// Checks the status of the response, and that the log has a line with these
  /// fields if it is not empty.
  void Expect(const HttpIncomingRequest& aRequest,
              int aStatus,
              const std::string& aFields)
  {
    const std::size_t before = mLog.Pending().size();
    LONGS_EQUAL(aStatus, StatusOf(aRequest));
    const std::string lines = mLog.Pending().substr(before);
    if (aFields.empty()) {
      CHECK_TRUE(lines.find("request_refused") == std::string::npos);
    } else {
      STRCMP_CONTAINS(("event=request_refused " + aFields + "\n").c_str(),
                      lines.c_str());
    }
  }
};

// Guards against a refusal without a configuration that leaves no line.
TEST(ClientCalls, LogsARefusalWithoutAConfiguration)
{
  Expect({ "POST", kJobPath, "h", "{}", {} },
         503,
         "status=503 cause=no_configuration method=POST host=h path=" +
           kJobPath + " version=0 configuration_age_ms=none");
}

// Guards against a refused request that can't be told from another cause in the
// log, or whose line lacks the version that refused it and its age.
TEST(ClientCalls, LogsTheCauseOfEachRefusal)
{
  ReadConfiguration();
  mNow += Millis(1500);
  const std::string copy = " version=7 configuration_age_ms=1500";
  Expect({ "GET", "/new/", "h", "", {} },
         404,
         "status=404 cause=unknown_route method=GET host=h path=/new/" + copy);
  Expect({ "GET", "/p/17?secret", "h", "", {} },
         404,
         "status=404 cause=invalid_job_id method=GET host=h path=/p/17" + copy);
  Expect({ "POST", kJobPath, "h", "[]", {} },
         400,
         "status=400 cause=invalid_job method=POST host=h path=" + kJobPath +
           " message=\"body: allowed is a JSON object\"" + copy);
  Expect({ "PATCH", kJobPath, "h", "", {} },
         405,
         "status=405 cause=method method=PATCH host=h path=" + kJobPath + copy);
}

// Guards against a node that denies a route which a newer version has: while
// its reads of the configuration fail, it can't know, and another node may.
TEST(ClientCalls, AStaleNodeDeniesNoRoute)
{
  ReadConfiguration();
  const auto advance = [&](Millis aTime) {
    for (const MonotonicTime end = mNow + aTime; mNow < end;
         mNow += Millis(25)) {
      mNode->Tick(mNow);
      mStore.Run();
    }
  };
  const HttpIncomingRequest request{ "GET", "/new/", "h", "", {} };
  mStore.mRefuses = true;
  advance(Seconds(2));
  LONGS_EQUAL(404, StatusOf(request));
  advance(Seconds(2));
  LONGS_EQUAL(503, StatusOf(request));
  STRCMP_CONTAINS("status=503 cause=unknown_route", mLog.Pending().c_str());
  LONGS_EQUAL(200, StatusOf({ "GET", "/p/", "h", "", {} }));
  mStore.mRefuses = false;
  StoreConfiguration(8);
  advance(Seconds(1));
  LONGS_EQUAL(404, StatusOf(request));
}

// Guards against lines about requests that are served.
TEST(ClientCalls, LogsNoRefusalOfAServedRequest)
{
  ReadConfiguration();
  Expect({ "GET", "/p/", "h", "", {} }, 200, {});
}
