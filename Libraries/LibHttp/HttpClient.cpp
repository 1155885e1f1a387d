// Boost 1.74 uses std::exchange in its coroutine support without including
// <utility>, so <utility> must come before Asio.
#include <utility>

#include <LibHttp/HttpClient.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <map>
#include <mutex>
#include <string_view>
#include <vector>

namespace paddle {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Largest body of a reply that is accepted: a scan of the table service
/// returns all rows of a prefix in one.
constexpr std::uint64_t kMaxReplyBytes = 256UL << 20;

/// Most bytes that are buffered for a reply until the parser takes them: its
/// trailers, and a chunk header with its extensions, as long as they are not
/// complete. The parser's own limit on the head is 8 KiB, and its lengths of
/// fields have 16 bits.
constexpr std::size_t kMaxBufferedBytes = 64UL << 10;

/// A connection with an event loop of its own, so that each operation on it can
/// be waited for until a deadline.
struct Connection
{
  boost::asio::io_context mLoop{ 1 };
  tcp::socket mSocket{ mLoop };
  /// Bytes received but not parsed yet.
  boost::beast::flat_buffer mBuffer{ kMaxBufferedBytes };
  MonotonicTime mLastUsed;
};

/// Waits for an asynchronous operation on a connection. It is aborted at the
/// deadline.
/// @param aStart is called with the operation's completion handler
/// @return the operation's error; timed_out at the deadline
template<typename Start>
error_code
Wait(Connection& aConnection, MonotonicTime aDeadline, const Start& aStart)
{
  error_code result = boost::asio::error::would_block;
  aStart([&](error_code aError, auto&&...) { result = aError; });
  aConnection.mLoop.restart();
  aConnection.mLoop.run_until(aDeadline);
  if (result != boost::asio::error::would_block) {
    return result;
  }
  error_code ignored;
  aConnection.mSocket.close(ignored);
  aConnection.mLoop.restart();
  aConnection.mLoop.run(); // The handler is called with operation_aborted.
  return boost::asio::error::timed_out;
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

/// Converts a request to one of Beast.
http::request<http::string_body>
ToLibrary(const Endpoint& aEndpoint,
          const HttpRequest& aRequest,
          std::string_view aUserAgent)
{
  std::string target = EncodePath(aRequest.mPath);
  if (!aRequest.mQuery.empty()) {
    target += '?' + aRequest.mQuery;
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aRequest.mMethod);
  request.target(target);
  request.set(http::field::host, ToText(aEndpoint));
  for (const auto& [name, value] : aRequest.mHeaders) {
    request.set(name, value);
  }
  request.set(http::field::user_agent,
              boost::beast::string_view(aUserAgent.data(), aUserAgent.size()));
  request.body() = aRequest.mBody;
  request.prepare_payload();
  return request;
}

/// Converts a reply of Beast.
HttpReply
FromLibrary(http::response<http::string_body> aReply)
{
  HttpReply reply;
  reply.mStatus = aReply.result_int();
  for (const auto& field : aReply) {
    reply.mHeaders.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
  }
  reply.mBody = std::move(aReply.body());
  return reply;
}

HttpFailure
MakeFailure(SendState aState, const char* aStep, const error_code& aError)
{
  return { aState,
           aError == boost::asio::error::timed_out,
           std::string(aStep) + ": " + aError.message() };
}

} // namespace

struct HttpClient::State
{
  /// What came of one sending of a request.
  struct Try
  {
    Outcome<HttpReply, HttpFailure> mReply;
    bool mKeepAlive = false; ///< Whether the peer keeps the connection open.
  };

  HttpClientSettings mSettings;
  std::mutex mMutex;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> mIdle;

  /// Closes the connections to the endpoint that were idle for too long or on
  /// which bytes have arrived, and takes the most recently used one of the
  /// others from the pool.
  /// @return the connection, or null if there is none
  std::unique_ptr<Connection> TakeIdle(const Endpoint& aEndpoint)
  {
    const MonotonicTime oldest =
      std::chrono::steady_clock::now() - mSettings.mMaxIdleTime;
    std::lock_guard lock(mMutex);
    std::vector<std::unique_ptr<Connection>>& idle = mIdle[aEndpoint];
    std::erase_if(idle, [&](const std::unique_ptr<Connection>& aConnection) {
      return aConnection->mLastUsed < oldest;
    });
    while (!idle.empty()) {
      std::unique_ptr<Connection> connection = std::move(idle.back());
      idle.pop_back();
      error_code error;
      if (connection->mSocket.available(error) == 0 && !error) {
        return connection;
      }
    }
    return nullptr;
  }

  /// Puts a connection into the pool, or closes it if the pool is full.
  void PutIdle(const Endpoint& aEndpoint,
               std::unique_ptr<Connection> aConnection)
  {
    std::lock_guard lock(mMutex);
    std::vector<std::unique_ptr<Connection>>& idle = mIdle[aEndpoint];
    if (idle.size() >= mSettings.mMaxIdlePerEndpoint) {
      return;
    }
    aConnection->mLastUsed = std::chrono::steady_clock::now();
    idle.push_back(std::move(aConnection));
  }

  /// Opens a connection.
  /// @return the error, if it failed
  error_code Connect(Connection& aConnection,
                     const Endpoint& aEndpoint,
                     MonotonicTime aEnd) const
  {
    error_code error;
    const auto address = boost::asio::ip::make_address(aEndpoint.mHost, error);
    if (error) {
      return error;
    }
    error = Wait(
      aConnection,
      std::min(aEnd,
               std::chrono::steady_clock::now() + mSettings.mConnectTimeout),
      [&](auto aDone) {
        aConnection.mSocket.async_connect({ address, aEndpoint.mPort },
                                          std::move(aDone));
      });
    error_code ignored;
    aConnection.mSocket.set_option(tcp::no_delay(true), ignored);
    return error;
  }

  /// Sends a request on an open connection and reads the reply.
  static Try Send(Connection& aConnection,
                  const http::request<http::string_body>& aRequest,
                  MonotonicTime aEnd)
  {
    error_code error = Wait(aConnection, aEnd, [&](auto aDone) {
      http::async_write(aConnection.mSocket, aRequest, std::move(aDone));
    });
    if (error) {
      return { MakeFailure(
        SendState::Unknown, "can't send the request", error) };
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxReplyBytes);
    parser.skip(aRequest.method() == http::verb::head);
    error = Wait(aConnection, aEnd, [&](auto aDone) {
      http::async_read_header(
        aConnection.mSocket, aConnection.mBuffer, parser, std::move(aDone));
    });
    // NOTE: The parser would reserve memory for the stated length before it
    // checks its limit.
    if (!error && parser.content_length().value_or(0) > kMaxReplyBytes) {
      error = http::error::body_limit;
    }
    if (!error) {
      error = Wait(aConnection, aEnd, [&](auto aDone) {
        http::async_read(
          aConnection.mSocket, aConnection.mBuffer, parser, std::move(aDone));
      });
    }
    if (error) {
      return { MakeFailure(SendState::Unknown, "no whole reply", error) };
    }
    if (parser.need_eof()) {
      // Any end of the connection would look like the end of such a reply.
      return { HttpFailure{ SendState::Unknown,
                            false,
                            "no whole reply: its length is not stated" } };
    }
    const bool keepAlive =
      parser.keep_alive() && aConnection.mBuffer.size() == 0;
    return { FromLibrary(parser.release()), keepAlive };
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
  http::request<http::string_body> request =
    ToLibrary(aEndpoint, aRequest, mState->mSettings.mUserAgent);
  request.keep_alive(reusable);
  std::unique_ptr<Connection> connection;
  if (reusable) {
    connection = mState->TakeIdle(aEndpoint);
  }
  for (;;) {
    const bool used = connection != nullptr;
    if (!connection) {
      try {
        connection = std::make_unique<Connection>();
      } catch (const boost::system::system_error& e) {
        // Asio throws if there is no file descriptor left for the event loop.
        return HttpFailure{ SendState::NotSent, false, e.what() };
      }
      const error_code error = mState->Connect(*connection, aEndpoint, end);
      if (error) {
        return MakeFailure(SendState::NotSent, "can't connect", error);
      }
    }
    State::Try result = State::Send(*connection, request, end);
    const bool answered = Succeeded(result.mReply);
    const AnswerOrigin origin = answered && aCheck
                                  ? aCheck(ValueOf(result.mReply))
                                  : AnswerOrigin::Unproved;
    // The peer may have closed a used connection before the request arrived.
    const bool lost = !answered && !ErrorOf(result.mReply).mTimedOut;
    if (used && (lost || origin == AnswerOrigin::Earlier)) {
      connection.reset();
      continue;
    }
    if (origin == AnswerOrigin::Earlier) {
      return HttpFailure{ SendState::Unknown,
                          false,
                          "the reply belongs to another request" };
    }
    if (reusable && origin == AnswerOrigin::Own && result.mKeepAlive) {
      mState->PutIdle(aEndpoint, std::move(connection));
    }
    return std::move(result.mReply);
  }
}

} // namespace paddle
