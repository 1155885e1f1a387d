#include <LibTable/RpcPorts.h>

#include <LibRpc/RpcClient.h>
#include <LibTable/TableJson.h>
#include <LibTable/TransactionSettler.h>
#include <LibTable/WriteMarkers.h>

namespace paddle {

namespace {

/// Client of the table service over JSON-RPC. The functions of one port share
/// one instance, so that they share the marker rows of its writes.
class TableClient
{
public:
  TableClient(HttpClient& aClient, const PlatformSettings& aSettings)
    : mClient(aClient)
    , mSettings(aSettings)
  {
    mCalls.mTransact = [this](const TableTransaction& aTransaction,
                              Millis aTimeout) {
      return SendTransaction(aTransaction, aTimeout);
    };
    mCalls.mRead = [this](std::span<const std::string> aKeys, Millis aTimeout) {
      // The outcome of a write is read over a new connection: the connection
      // on which the answer was lost may never carry an answer again, and the
      // same may be true of the other idle connections.
      return ReadRows(
        "table.read", KeysToJson(aKeys), aTimeout, ConnectionUse::Fresh);
    };
  }

  Outcome<std::vector<TableRow>> Read(std::span<const std::string> aKeys)
  {
    return ReadRows("table.read",
                    KeysToJson(aKeys),
                    mSettings.mTimeout,
                    ConnectionUse::Reusable);
  }

  Outcome<std::vector<TableRow>> Scan(std::string_view aPrefix)
  {
    Json::Value parameters(Json::objectValue);
    parameters["prefix"] = std::string(aPrefix);
    return ReadRows(
      "table.scan", parameters, mSettings.mTimeout, ConnectionUse::Reusable);
  }

  /// Commits a transaction, and deletes some expired marker rows with it.
  TransactResult Transact(TableTransaction aTransaction)
  {
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::vector<std::string> expired = mMarkers.TakeExpired(now);
    for (const std::string& key : expired) {
      aTransaction.mWrites.push_back({ key, std::nullopt });
    }
    const std::string id = mMarkers.NextId();
    TransactResult result =
      TransactOnce(mCalls, aTransaction, id, mSettings.mTimeout);
    if (std::holds_alternative<Committed>(result)) {
      mMarkers.Add(id, now);
    } else {
      mMarkers.Restore(expired, now);
    }
    return result;
  }

private:
  /// Calls a method that returns rows.
  Outcome<std::vector<TableRow>> ReadRows(const char* aMethod,
                                          const Json::Value& aParameters,
                                          Millis aTimeout,
                                          ConnectionUse aUse)
  {
    const Outcome<Json::Value> answer =
      CallRpc(mClient, mSettings.mTable, aMethod, aParameters, aTimeout, aUse);
    if (!Succeeded(answer)) {
      // A read has no effect, so a lost answer leaves nothing unknown.
      return Error{ ErrorKind::Unavailable, ErrorOf(answer).mMessage };
    }
    return ParseRows(ValueOf(answer));
  }

  /// Sends a transaction once, without determining its outcome if no answer
  /// arrives.
  TransactResult SendTransaction(const TableTransaction& aTransaction,
                                 Millis aTimeout)
  {
    // On a reused connection the HTTP library may send the request twice. The
    // table service refuses the second delivery, because one condition of the
    // transaction is that its marker row does not exist.
    const Outcome<Json::Value> answer = CallRpc(mClient,
                                                mSettings.mTable,
                                                "table.transact",
                                                TransactionToJson(aTransaction),
                                                aTimeout,
                                                ConnectionUse::Reusable);
    if (!Succeeded(answer)) {
      return ErrorOf(answer);
    }
    return ParseTransactResult(ValueOf(answer));
  }

  HttpClient& mClient;
  PlatformSettings mSettings;
  WriteMarkers mMarkers;
  SingleTableCalls mCalls;
};

} // namespace

TablePort
MakeRpcTablePort(HttpClient& aClient, const PlatformSettings& aSettings)
{
  // The functions of the port own the client together, because each of them
  // may be copied and outlive the others.
  const auto client = std::make_shared<TableClient>(aClient, aSettings);
  TablePort port;
  port.mRead = [client](std::span<const std::string> aKeys) {
    return client->Read(aKeys);
  };
  port.mScan = [client](std::string_view aPrefix) {
    return client->Scan(aPrefix);
  };
  port.mTransact = [client](const TableTransaction& aTransaction) {
    return client->Transact(aTransaction);
  };
  return port;
}

} // namespace paddle
