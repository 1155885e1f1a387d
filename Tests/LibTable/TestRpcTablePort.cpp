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

/// @return a transaction that writes a row if it has version @p aVersion
TableTransaction
Put(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue)
{
  return { { { aKey, aVersion } }, { { aKey, aValue } } };
}

} // namespace

/// A table port of member "one" that calls the platform stand-in over HTTP.
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

  /// @return the value of a row in the table of the stand-in
  std::string ValueAt(const std::string& aKey)
  {
    const std::string keys[] = { aKey };
    return mPlatform.mTable.Read(keys).front().mValue;
  }
};

// Guards against keys, values, versions or conditions that are not passed
// correctly between the port and the table service.
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

// Guards against a lost update: if two writers start from the same version, the
// second one must get a conflict with the current row, and write nothing.
TEST(RpcTablePort, ReportsConflictWithCurrentRow)
{
  mPort.mTransact(Put("a", 0, "x"));
  const TransactResult second = mPort.mTransact(Put("a", 0, "y"));
  const auto* conflict = std::get_if<Conflict>(&second);
  CHECK_TRUE(conflict != nullptr);
  LONGS_EQUAL(1, conflict->mRows.size());
  STRCMP_EQUAL("x", conflict->mRows[0].mValue.c_str());
  STRCMP_EQUAL("x", ValueAt("a").c_str());
}

// Guards against a write that is reported as failed, or committed twice,
// because its answer was lost. The port must find out from the marker row that
// the write was committed.
TEST(RpcTablePort, SettlesLostAnswerByMarker)
{
  mPlatform.mFaults.LoseAnswers(1);
  const TransactResult result = mPort.mTransact(Put("a", 0, "x"));
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  STRCMP_EQUAL("x", ValueAt("a").c_str());
  CHECK_EQUAL(1U, mPlatform.mTable.Counters().mWrites);
}

// Guards against a write without conditions that is committed twice after its
// answer was lost: only the marker row tells that the first delivery was
// committed.
TEST(RpcTablePort, CommitsUnconditionalWriteOnce)
{
  mPlatform.mFaults.LoseAnswers(1);
  const TransactResult result =
    mPort.mTransact({ {}, { { "a", std::string("x") } } });
  CHECK_TRUE(std::holds_alternative<Committed>(result));
  CHECK_EQUAL(1U, mPlatform.mTable.Counters().mWrites);
}

// Guards against an unknown outcome reported for an outage in which nothing was
// written: callers would wait for a write that can't have happened.
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

// Guards against reporting that nothing was written (kind Unavailable) for a
// request that was sent but never answered.
TEST(RpcTablePort, ReportsMissingAnswerAsUnknown)
{
  mPlatform.mFaults.PartitionMembers({ "one" }, PartitionMode::Silent);
  const TablePort port =
    MakeRpcTablePort(mClient, { mEndpoint, mEndpoint, mEndpoint, Millis(300) });
  const TransactResult result = port.mTransact(Put("a", 0, "x"));
  CHECK_TRUE(std::get<Error>(result).mKind == ErrorKind::Unknown);
  mPlatform.mFaults.PartitionMembers({}, PartitionMode::Silent);
}

// Guards against a stand-in whose fault "cutFrom" does not cut off the member
// that it names, or also cuts off others.
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
