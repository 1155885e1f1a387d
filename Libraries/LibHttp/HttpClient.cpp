#include <LibHttp/HttpClient.h>

#include <algorithm>
#include <cctype>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <map>
#include <mutex>
#include <string_view>
#include <vector>

namespace paddle {

namespace {

/// Recognizes a failure to connect by its message, because cxxtools has no
/// exception type for it, and its connect() takes no time-out, so that
/// connecting can't be a step of its own. If a later version of cxxtools
/// changes the message, such a failure is reported as SendState::Unknown, which
/// is safe.
bool
IsConnectFailure(std::string_view aMessage)
{
  return aMessage.starts_with("while trying to connect to host");
}

/// An idle connection of the pool.
struct Connection
{
  std::unique_ptr<cxxtools::http::Client> mClient;
  MonotonicTime mLastUsed;
};

/// Converts a reply of cxxtools.
HttpReply
FromLibrary(const cxxtools::http::Reply& aReply)
{
  HttpReply reply;
  reply.mStatus = aReply.httpReturnCode();
  for (auto it = aReply.header().begin(); it != aReply.header().end(); ++it) {
    reply.mHeaders.emplace_back(it->first, it->second);
  }
  reply.mBody = aReply.body();
  return reply;
}

/// Percent-encodes a path, because the server of cxxtools decodes it.
std::string
EncodePath(std::string_view aPath)
{
  constexpr std::string_view kUnescapedCharacters = "-._~/!$&'()*+,;=:@";
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : aPath) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) ||
        kUnescapedCharacters.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kHexDigits[byte >> 4];
      encoded += kHexDigits[byte & 15];
    }
  }
  return encoded;
}

/// Converts a request to one of cxxtools.
void
ToLibrary(const HttpRequest& aRequest, cxxtools::http::Request& aOut)
{
  // cxxtools sends query parameters that are set separately with GET only, so
  // the query is appended to the URL.
  std::string url = EncodePath(aRequest.mPath);
  if (!aRequest.mQuery.empty()) {
    url += '?' + aRequest.mQuery;
  }
  aOut.url(url);
  aOut.method(aRequest.mMethod);
  for (const auto& [name, value] : aRequest.mHeaders) {
    aOut.setHeader(name.c_str(), value.c_str());
  }
  aOut.body() << aRequest.mBody;
}

} // namespace

struct HttpClient::State
{
  HttpClientSettings mSettings;
  std::mutex mMutex;
  std::map<Endpoint, std::vector<Connection>> mIdle;

  /// Closes the connections to the endpoint that were idle for too long, and
  /// takes the most recently used one of the others from the pool.
  /// @return the connection, or null if there is none
  std::unique_ptr<cxxtools::http::Client> TakeIdle(const Endpoint& aEndpoint)
  {
    const MonotonicTime oldest =
      std::chrono::steady_clock::now() - mSettings.mMaxIdleTime;
    std::lock_guard lock(mMutex);
    std::vector<Connection>& idle = mIdle[aEndpoint];
    std::erase_if(idle, [&](const Connection& aConnection) {
      return aConnection.mLastUsed < oldest;
    });
    if (idle.empty()) {
      return nullptr;
    }
    std::unique_ptr<cxxtools::http::Client> client =
      std::move(idle.back().mClient);
    idle.pop_back();
    return client;
  }

  /// Puts a connection into the pool, or closes it if the pool is full.
  void PutIdle(const Endpoint& aEndpoint,
               std::unique_ptr<cxxtools::http::Client> aClient)
  {
    std::lock_guard lock(mMutex);
    std::vector<Connection>& idle = mIdle[aEndpoint];
    if (idle.size() >= mSettings.mMaxIdlePerEndpoint) {
      return;
    }
    idle.push_back({ std::move(aClient), std::chrono::steady_clock::now() });
  }
};

HttpClient::HttpClient(HttpClientSettings aSettings)
  : mState(std::make_unique<State>())
{
  mState->mSettings = std::move(aSettings);
}

HttpClient::~HttpClient() = default;

Outcome<HttpReply, HttpFailure>
HttpClient::Execute(const Endpoint& aEndpoint,
                    const HttpRequest& aRequest,
                    Millis aTimeout,
                    ConnectionUse aUse,
                    const ReplyCheck& aCheck)
{
  const MonotonicTime end = std::chrono::steady_clock::now() + aTimeout;
  const bool reusable = aUse == ConnectionUse::Reusable && aCheck;
  SendState state = SendState::NotSent;
  try {
    cxxtools::http::Request request;
    ToLibrary(aRequest, request);
    request.setHeader("User-Agent", mState->mSettings.mUserAgent.c_str());
    if (!reusable) {
      request.setHeader("Connection", "close");
    }
    std::unique_ptr<cxxtools::http::Client> client;
    if (reusable) {
      client = mState->TakeIdle(aEndpoint);
    }
    for (;;) {
      const bool used = client != nullptr;
      if (!client) {
        client = std::make_unique<cxxtools::http::Client>(aEndpoint.mHost,
                                                          aEndpoint.mPort);
      }
      const Millis left = std::max(Millis(1),
                                   std::chrono::duration_cast<Millis>(
                                     end - std::chrono::steady_clock::now()));
      state = SendState::Unknown;
      client->execute(
        request,
        cxxtools::Milliseconds(left.count()),
        cxxtools::Milliseconds(
          std::min(left, mState->mSettings.mConnectTimeout).count()));
      client->readBody();
      HttpReply reply = FromLibrary(client->reply());
      const AnswerOrigin origin =
        aCheck ? aCheck(reply) : AnswerOrigin::Unproved;
      if (origin == AnswerOrigin::Earlier && used) {
        client.reset();
        continue;
      }
      if (origin == AnswerOrigin::Earlier) {
        return HttpFailure{ state,
                            false,
                            "the reply belongs to another request" };
      }
      if (reusable && origin == AnswerOrigin::Own &&
          client->reply().header().keepAlive()) {
        mState->PutIdle(aEndpoint, std::move(client));
      }
      return reply;
    }
  } catch (const cxxtools::IOTimeout& e) {
    return HttpFailure{ state, true, e.what() };
  } catch (const std::exception& e) {
    if (IsConnectFailure(e.what())) {
      state = SendState::NotSent;
    }
    return HttpFailure{ state, false, e.what() };
  }
}

} // namespace paddle
