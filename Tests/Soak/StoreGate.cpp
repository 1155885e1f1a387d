#include "StoreGate.h"

#include <algorithm>
#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "../../platform/Wire.h"

namespace paddle::soak {

using review::Request;
using review::Response;

namespace {

/// A connection to the store that carries one call after the other.
class Connection
{
public:
  explicit Connection(std::uint16_t aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    mOpen = ::connect(mSocket,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) == 0;
  }
  ~Connection() { ::close(mSocket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return the answer, or nothing if the connection has ended
  std::optional<Response> Call(const std::string& aMessage)
  {
    if (!mOpen || ::send(mSocket,
                         aMessage.data(),
                         aMessage.size(),
                         MSG_NOSIGNAL | MSG_WAITALL) !=
                    static_cast<ssize_t>(aMessage.size())) {
      return {};
    }
    constexpr std::string_view kLength = "Content-Length: ";
    std::string received;
    for (;;) {
      const std::size_t head = received.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t length =
          std::stoul(received.substr(received.find(kLength) + kLength.size()));
        if (received.size() >= head + 4 + length) {
          return Response{ std::stoi(received.substr(received.find(' ') + 1)),
                           received.substr(head + 4, length) };
        }
      }
      char buffer[16384];
      const ssize_t count = ::recv(mSocket, buffer, sizeof buffer, 0);
      if (count <= 0) {
        return {};
      }
      received.append(buffer, static_cast<std::size_t>(count));
    }
  }

private:
  int mSocket;
  bool mOpen = false;
};

Response
Failure(Response::Fate aFate)
{
  return { 0, {}, aFate };
}

std::string
Format(const Request& aRequest)
{
  std::string query;
  for (const auto& [name, value] : aRequest.mQuery) {
    query += std::string(query.empty() ? "?" : "&") + name + "=" +
             platform::EncodeQuery(value);
  }
  return aRequest.mMethod + " " + aRequest.mPath + query +
         " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
         std::to_string(aRequest.mBody.size()) + "\r\n\r\n" + aRequest.mBody;
}

} // namespace

const char*
TextOf(StoreTrouble aTrouble)
{
  constexpr const char* kTexts[] = {
    "well", "silent", "unavailable", "losing answers to writes", "slow"
  };
  return kTexts[static_cast<std::size_t>(aTrouble)];
}

StoreGate::StoreGate(std::uint16_t aStorePort, Record& aRecord, Dice& aDice)
  : mStorePort(aStorePort)
  , mRecord(aRecord)
  , mDice(aDice)
  , mServer([this](const Request& aRequest) { return Handle(aRequest); },
            [this](std::uint64_t aConnection) {
              const std::lock_guard lock(mMutex);
              mLastConnection = std::max(mLastConnection, aConnection);
            })
{
}

void
StoreGate::SetTrouble(StoreTrouble aTrouble)
{
  const std::lock_guard lock(mMutex);
  mTrouble = aTrouble;
}

StoreTrouble
StoreGate::Trouble()
{
  const std::lock_guard lock(mMutex);
  return mTrouble;
}

void
StoreGate::ResetConnections()
{
  const std::lock_guard lock(mMutex);
  mResetUpTo = mLastConnection;
}

std::set<std::string>
StoreGate::OwnersWith(std::int64_t aToken)
{
  const std::lock_guard lock(mMutex);
  const auto found = mOwners.find(aToken);
  return found == mOwners.end() ? std::set<std::string>() : found->second;
}

std::string
StoreGate::NewestOwner()
{
  const std::lock_guard lock(mMutex);
  return mOwners.empty() ? std::string() : *mOwners.rbegin()->second.begin();
}

void
StoreGate::ReadOwners(const std::string& aTransaction)
{
  rapidjson::Document body;
  if (!platform::ParseJson(aTransaction, body) || !body.IsObject()) {
    return;
  }
  const platform::JsonValue* puts = platform::Member(body, "puts");
  if (puts == nullptr || !puts->IsArray()) {
    return;
  }
  for (const platform::JsonValue& put : puts->GetArray()) {
    if (platform::Text(put, "table") != "cluster") {
      continue;
    }
    rapidjson::Document row;
    const std::string text =
      platform::DecodeBase64(platform::Text(put, "value").value_or(""))
        .value_or("");
    if (!platform::ParseJson(text, row) || !row.IsObject()) {
      continue;
    }
    const std::optional<std::string> owner = platform::Text(row, "owner");
    const std::optional<std::int64_t> epoch = platform::Integer(row, "epoch");
    if (!owner || !epoch || owner->empty()) {
      continue;
    }
    const std::lock_guard lock(mMutex);
    if (mOwners[*epoch].insert(*owner).second) {
      mRecord.Write("nodes",
                    *owner + " owns " +
                      platform::Text(put, "key").value_or("") +
                      " with token=" + std::to_string(*epoch));
    }
  }
}

Response
StoreGate::Handle(const Request& aRequest)
{
  // Each connection is served by a thread of its own.
  thread_local std::unique_ptr<Connection> sStore;
  const auto isReset = [&] {
    const std::lock_guard lock(mMutex);
    return aRequest.mConnection <= mResetUpTo;
  };
  if (isReset()) {
    return Failure(Response::Fate::Reset);
  }
  const StoreTrouble trouble = Trouble();
  if (trouble == StoreTrouble::Silent) {
    return Failure(Response::Fate::Unanswered);
  }
  if (trouble == StoreTrouble::Unavailable) {
    return { 503, "{}" };
  }
  if (trouble == StoreTrouble::Slow) {
    review::SleepMs(mDice.Between(100, 900));
  }
  if (!sStore) {
    sStore = std::make_unique<Connection>(mStorePort);
  }
  const std::optional<Response> response = sStore->Call(Format(aRequest));
  if (!response) {
    return Failure(Response::Fate::Reset);
  }
  const bool isWrite = aRequest.mPath == "/savorypaddle/rows-tx";
  if (isWrite && response->mStatus == 200) {
    ReadOwners(aRequest.mBody);
  }
  if (isWrite && trouble == StoreTrouble::LosesWrites && mDice.Chance(50)) {
    return Failure(mDice.Chance(50) ? Response::Fate::Unanswered
                                    : Response::Fate::Reset);
  }
  if (isReset()) {
    return Failure(Response::Fate::Reset);
  }
  return Trouble() == StoreTrouble::Silent ? Failure(Response::Fate::Unanswered)
                                           : *response;
}

} // namespace paddle::soak
