#include <LibTable/RpcPorts.h>

#include <LibRpc/RpcClient.h>
#include <LibTable/TableJson.h>
#include <LibTable/TransactionSettler.h>
#include <LibTable/WriteMarkers.h>

namespace paddle {

namespace {

/// Reaches the table service; shared by the functions of one port.
class TableClient
{
public:
  TableClient(HttpClient& aClient, const PlatformSettings& aSettings)
    : mClient(aClient)
    , mSettings(aSettings)
  {
    mTries.mTransact = [this](const TableTransaction& aTransaction,
                              Millis aTimeout) {
      return TryTransact(aTransaction, aTimeout);
    };
    mTries.mRead = [this](std::span<const std::string> aKeys, Millis aTimeout) {
      // A connection that got no answer may be silent for good, and so may
      // other idle ones. What settles a write uses a new connection.
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

  TransactResult Transact(TableTransaction aTransaction)
  {
    const MonotonicTime now = std::chrono::steady_clock::now();
    const std::vector<std::string> expired = mMarkers.TakeExpired(now);
    for (const std::string& key : expired) {
      aTransaction.mWrites.push_back({ key, std::nullopt });
    }
    const std::string id = mMarkers.NextId();
    TransactResult result =
      TransactOnce(mTries, aTransaction, id, mSettings.mTimeout);
    if (std::holds_alternative<Committed>(result)) {
      mMarkers.Keep(id, now);
    } else {
      mMarkers.Restore(expired, now);
    }
    return result;
  }

private:
  Outcome<std::vector<TableRow>> ReadRows(const char* aMethod,
                                          const Json::Value& aParameters,
                                          Millis aTimeout,
                                          ConnectionUse aUse)
  {
    const Outcome<Json::Value> answer =
      CallRpc(mClient, mSettings.mTable, aMethod, aParameters, aTimeout, aUse);
    if (!Succeeded(answer)) {
      // A read has no effect, so that a lost answer is a plain failure.
      return Error{ ErrorKind::Unavailable, ErrorOf(answer).mMessage };
    }
    return ParseRows(ValueOf(answer));
  }

  TransactResult TryTransact(const TableTransaction& aTransaction,
                             Millis aTimeout)
  {
    // A second delivery does no harm: the marker row refuses it.
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
  TableTries mTries;
};

} // namespace

TablePort
MakeRpcTablePort(HttpClient& aClient, const PlatformSettings& aSettings)
{
  // Shared by the three functions of the port, which are copied freely.
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
