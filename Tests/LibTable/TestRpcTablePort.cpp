#include <memory>
#include <string>

#include <LibHttp/HttpServer.h>
#include <LibRpc/RpcClient.h>
#include <LibTable/RpcPorts.h>
#include <StandIns/Platform/PlatformService.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

constexpr Millis kTimeout{ 2000 };

TableTransaction
Put(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue)
{
  return { { { aKey, aVersion } }, { { aKey, aValue } } };
}

} // namespace

TEST_GROUP(RpcTablePort)
{
  const Endpoint mEndpoint{ "127.0.0.1", 20011 };
  Platform mPlatform{ {}, Millis(0) };
  std::unique_ptr<HttpServer> mServer;
  HttpClient mClient{ { .mUserAgent = "savorypaddle/one" } };
  TablePort mPort =
    MakeRpcTablePort(mClient, { mEndpoint, mEndpoint, mEndpoint, kTimeout });

  void setup() override
  {
    auto server =
      HttpServer::Start({ { mEndpoint }, 20 }, MakePlatformHandler(mPlatform));
    CHECK_TRUE(Succeeded(server));
    mServer = std::move(ValueOf(server));
  }

  std::string ValueAt(const std::string& aKey)
  {
    const std::string keys[] = { aKey };
    return mPlatform.mTable.Read(keys).front().mValue;
  }
};

// Guards against rows, versions or conditions that are changed on the way.
TEST(RpcTablePort, CommitsReadsAndScans)
{
  const TransactResult first = mPort.mTransact(Put("a/1", 0, "x"));
  CHECK_TRUE(std::holds_alternative<Committed>(first));
  CHECK_TRUE(
    std::holds_alternative<Committed>(mPort.mTransact(Put("a/2", 0, "y"))));
  const auto rows = mPort.mScan("a/");
  CHECK_TRUE(Succeeded(rows));
  LONGS_EQUAL(2, ValueOf(rows).size());
  STRCMP_EQUAL("y", ValueOf(rows)[1].mValue.c_str());
  const std::string keys[] = { "a/1", "a/3" };
  const auto read = mPort.mRead(keys);
  CHECK_TRUE(Succeeded(read));
  CHECK_EQUAL(std::get<Committed>(first).mVersion, ValueOf(read)[0].mVersion);
  CHECK_EQUAL(0U, ValueOf(read)[1].mVersion);
}

// Guards against a lost update: the second writer must learn the present row.
TEST(RpcTablePort, ReportsConflictWithPresentRow)
{
  mPort.mTransact(Put("a", 0, "x"));
  const TransactResult second = mPort.mTransact(Put("a", 0, "y"));
  const auto* conflict = std::get_if<Conflict>(&second);
  CHECK_TRUE(conflict != nullptr);
  LONGS_EQUAL(1, conflict->mRows.size());
  STRCMP_EQUAL("x", conflict->mRows[0].mValue.c_str());
  STRCMP_EQUAL("x", ValueAt("a").c_str());
}

// Guards against a write that is reported as failed, or made twice, because
// its answer was lost.
TEST(RpcTablePort, SettlesLostAnswerByMarker)
{
  mPlatform.mFaults.LoseAnswers(1);
  const TransactResult result = mPort.mTransact(Put("a", 0, "x"));
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  STRCMP_EQUAL("x", ValueAt("a").c_str());
  CHECK_EQUAL(1U, mPlatform.mTable.Counters().mWrites);
}

// Guards against a write without conditions that runs twice after its answer
// was lost.
TEST(RpcTablePort, CommitsUnconditionalWriteOnce)
{
  mPlatform.mFaults.LoseAnswers(1);
  const TransactResult result =
    mPort.mTransact({ {}, { { "a", std::string("x") } } });
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  CHECK_EQUAL(1U, mPlatform.mTable.Counters().mWrites);
}

// Guards against an outage that is reported as an unknown effect, which would
// make callers wait for nothing.
TEST(RpcTablePort, ReportsOutageAsUnavailable)
{
  mPlatform.mFaults.SetOutage(true);
  const TransactResult result = mPort.mTransact(Put("a", 0, "x"));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unavailable);
  CHECK_FALSE(Succeeded(mPort.mScan("a")));
  mPlatform.mFaults.SetOutage(false);
  STRCMP_EQUAL("", ValueAt("a").c_str());
  CHECK_TRUE(Succeeded(mPort.mScan("a")));
}

// Guards against "surely not written" for a request that was sent and never
// answered.
TEST(RpcTablePort, ReportsSilenceAsUnknown)
{
  mPlatform.mFaults.PartitionMembers({ "one" }, PartitionMode::Silent);
  const TablePort port =
    MakeRpcTablePort(mClient, { mEndpoint, mEndpoint, mEndpoint, Millis(300) });
  const TransactResult result = port.mTransact(Put("a", 0, "x"));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unknown);
  mPlatform.mFaults.PartitionMembers({}, PartitionMode::Silent);
}

// Guards against a cut of one member that reaches others, or none.
TEST(RpcTablePort, CutsOffOneMember)
{
  HttpClient otherClient({ .mUserAgent = "savorypaddle/other" });
  const TablePort other = MakeRpcTablePort(
    otherClient, { mEndpoint, mEndpoint, mEndpoint, Millis(300) });
  Json::Value fault;
  fault["cutFrom"]["members"].append("other");
  HttpClient operatorClient({});
  CHECK_TRUE(Succeeded(
    CallRpc(operatorClient, mEndpoint, "standin.fault", fault, kTimeout)));
  CHECK_FALSE(Succeeded(other.mScan("a")));
  CHECK_TRUE(Succeeded(mPort.mScan("a")));
}
