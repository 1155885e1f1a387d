// Boost 1.74 uses std::exchange in its coroutine support without including
// <utility>, so <utility> must come before Asio.
#include <utility>

#include <LibAsyncHttp/HttpServer.h>
#include <LibTime/BootClock.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <set>

namespace paddle {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 4096;
/// Delay before the next accept after a failed one, so that the loop does not
/// spin while the process has no free file descriptors.
constexpr Millis kAcceptRetryDelay{ 50 };

/// @return the reason phrase of a status code, such as "Not Found"
std::string_view
ReasonPhrase(int aStatus)
{
  return { http::obsolete_reason(static_cast<http::status>(aStatus)).data(),
           http::obsolete_reason(static_cast<http::status>(aStatus)).size() };
}

/// @return the response as it is sent
std::string
Serialize(const HttpReply& aReply, bool aKeepAlive)
{
  std::string text;
  text.reserve(160 + aReply.mBody.size());
  text += "HTTP/1.1 ";
  text += std::to_string(aReply.mStatus);
  text += ' ';
  text += ReasonPhrase(aReply.mStatus);
  text += "\r\nContent-Length: ";
  text += std::to_string(aReply.mBody.size());
  text += "\r\n";
  if (!aReply.mContentType.empty()) {
    text += "Content-Type: ";
    text += aReply.mContentType;
    text += "\r\n";
  }
  for (const auto& [name, value] : aReply.mHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aKeepAlive) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  text += aReply.mBody;
  return text;
}

/// @return the status code for a request that can't be parsed
int
StatusOfParseError(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit) {
    return 431;
  }
  return 400;
}

} // namespace

struct AsyncHttpServer::State : std::enable_shared_from_this<State>
{
  struct Connection
  {
    explicit Connection(tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    tcp::socket mSocket;
    std::array<char, kReadBufferBytes> mBuffer{};
    std::string mUnparsed; ///< Bytes received but not parsed yet.
    std::optional<http::request_parser<http::string_body>> mParser;
    std::string mOutgoing;
    bool mHandling = false; ///< The handler has not replied yet.
    /// The response is being written. The parser still holds its request.
    bool mReplying = false;
    bool mClosed = false;
    bool mCloseAfterReply = false;
    bool mReading = false; ///< A read is pending.
    std::optional<Deadlines::Key> mDeadline;

    /// @return whether a request has been parsed whose response is not written
    [[nodiscard]] bool Busy() const { return mHandling || mReplying; }
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  State(boost::asio::io_context& aLoop,
        Deadlines& aDeadlines,
        const HttpLimits& aLimits,
        IncomingRequestHandler aHandler)
    : mAcceptor(aLoop)
    , mDeadlines(aDeadlines)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  void Accept();
  /// Prepares a connection for its next request.
  void Begin(const ConnectionPtr& aConnection);
  /// Closes the connection after @p aAfter; replaces its earlier deadline.
  void SetDeadline(const ConnectionPtr& aConnection, Millis aAfter);
  void Read(const ConnectionPtr& aConnection);
  /// Parses the received bytes; handles the request once it is complete.
  void Consume(const ConnectionPtr& aConnection);
  void Handle(const ConnectionPtr& aConnection);
  void Reply(const ConnectionPtr& aConnection,
             const HttpReply& aReply,
             bool aKeepAlive);
  void Close(const ConnectionPtr& aConnection);

  tcp::acceptor mAcceptor;
  Deadlines& mDeadlines;
  HttpLimits mLimits;
  IncomingRequestHandler mHandler;
  std::set<ConnectionPtr> mConnections;
  std::size_t mActive = 0; ///< Requests without a reply from the handler.
  bool mDraining = false;
  bool mStopped = false;
};

void
AsyncHttpServer::State::Accept()
{
  auto self = shared_from_this();
  mAcceptor.async_accept([self](error_code aError, tcp::socket aSocket) {
    if (self->mStopped) {
      return;
    }
    if (aError) {
      self->mDeadlines.Add(BootTime() + kAcceptRetryDelay,
                           [self] { self->Accept(); });
      return;
    }
    if (self->mConnections.size() < self->mLimits.mMaxConnections) {
      error_code ignored;
      aSocket.set_option(tcp::no_delay(true), ignored);
      auto connection = std::make_shared<Connection>(std::move(aSocket));
      self->mConnections.insert(connection);
      self->Begin(connection);
    }
    self->Accept();
  });
}

void
AsyncHttpServer::State::Begin(const ConnectionPtr& aConnection)
{
  aConnection->mReplying = false;
  aConnection->mParser.emplace();
  aConnection->mParser->header_limit(mLimits.mHeaderBytes);
  aConnection->mParser->body_limit(mLimits.mBodyBytes);
  aConnection->mParser->eager(true);
  SetDeadline(aConnection, mLimits.mIdleTimeout);
  if (aConnection->mUnparsed.empty()) {
    Read(aConnection);
  } else {
    Consume(aConnection);
  }
}

void
AsyncHttpServer::State::SetDeadline(const ConnectionPtr& aConnection,
                                    Millis aAfter)
{
  if (aConnection->mDeadline) {
    mDeadlines.Cancel(*aConnection->mDeadline);
  }
  auto self = shared_from_this();
  aConnection->mDeadline =
    mDeadlines.Add(BootTime() + aAfter, [self, aConnection] {
      aConnection->mDeadline.reset();
      self->Close(aConnection);
    });
}

void
AsyncHttpServer::State::Read(const ConnectionPtr& aConnection)
{
  if (aConnection->mReading) {
    return;
  }
  aConnection->mReading = true;
  auto self = shared_from_this();
  aConnection->mSocket.async_read_some(
    boost::asio::buffer(aConnection->mBuffer),
    [self, aConnection](error_code aError, std::size_t aCount) {
      aConnection->mReading = false;
      if (aConnection->mClosed) {
        return;
      }
      if (aError) {
        // NOTE: A caller may shut down its sending side and still wait for the
        // response, so a request that is being handled is not aborted.
        if (aConnection->Busy() && aError == boost::asio::error::eof) {
          aConnection->mCloseAfterReply = true;
          return;
        }
        self->Close(aConnection);
        return;
      }
      if (aConnection->mUnparsed.empty() && !aConnection->Busy()) {
        self->SetDeadline(aConnection, self->mLimits.mRequestTimeout);
      }
      aConnection->mUnparsed.append(aConnection->mBuffer.data(), aCount);
      if (!aConnection->Busy()) {
        self->Consume(aConnection);
      }
    });
}

void
AsyncHttpServer::State::Consume(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  std::size_t used = 0;
  while (used < connection.mUnparsed.size() && !connection.mParser->is_done()) {
    error_code error;
    const std::size_t taken = connection.mParser->put(
      boost::asio::const_buffer(connection.mUnparsed.data() + used,
                                connection.mUnparsed.size() - used),
      error);
    used += taken;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      Reply(aConnection, { StatusOfParseError(error), {}, {}, {} }, false);
      return;
    }
    if (taken == 0) {
      break;
    }
  }
  connection.mUnparsed.erase(0, used);
  if (connection.mParser->is_done()) {
    Handle(aConnection);
    return;
  }
  Read(aConnection);
}

void
AsyncHttpServer::State::Handle(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  if (connection.mDeadline) {
    mDeadlines.Cancel(*connection.mDeadline);
    connection.mDeadline.reset();
  }
  auto& message = connection.mParser->get();
  const bool hasBothLengths = message.count(http::field::content_length) > 0 &&
                              message.count(http::field::transfer_encoding) > 0;
  if (hasBothLengths || message.count(http::field::content_length) > 1) {
    // A request whose length is given twice could be split differently by a
    // proxy and by this server (request smuggling).
    Reply(aConnection, { 400, {}, {}, {} }, false);
    return;
  }
  HttpIncomingRequest incoming;
  incoming.mMethod = std::string(message.method_string());
  incoming.mTarget = std::string(message.target());
  incoming.mHost = std::string(message[http::field::host]);
  for (const auto& field : message) {
    incoming.mHeaders.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
  }
  incoming.mBody = std::move(message.body());
  const bool keepAlive = message.keep_alive();
  connection.mHandling = true;
  ++mActive;
  std::weak_ptr<State> weak = shared_from_this();
  mHandler(std::move(incoming),
           [weak, aConnection, keepAlive](const HttpReply& aReply) {
             const auto self = weak.lock();
             if (!self) {
               return;
             }
             --self->mActive;
             aConnection->mHandling = false;
             if (!aConnection->mClosed) {
               self->Reply(aConnection, aReply, keepAlive);
             }
           });
  // NOTE: The connection is read also while the request is handled, to notice
  // when the caller closes it.
  if (!connection.mClosed && connection.mHandling) {
    Read(aConnection);
  }
}

void
AsyncHttpServer::State::Reply(const ConnectionPtr& aConnection,
                              const HttpReply& aReply,
                              bool aKeepAlive)
{
  const bool keepAlive =
    aKeepAlive && !mDraining && !aConnection->mCloseAfterReply;
  aConnection->mReplying = true;
  aConnection->mOutgoing = Serialize(aReply, keepAlive);
  SetDeadline(aConnection, mLimits.mRequestTimeout);
  auto self = shared_from_this();
  boost::asio::async_write(
    aConnection->mSocket,
    boost::asio::buffer(aConnection->mOutgoing),
    [self, aConnection, keepAlive](error_code aError, std::size_t) {
      if (aConnection->mClosed) {
        return;
      }
      if (aError || !keepAlive) {
        if (!aError) {
          error_code ignored;
          aConnection->mSocket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        self->Close(aConnection);
        return;
      }
      self->Begin(aConnection);
    });
}

void
AsyncHttpServer::State::Close(const ConnectionPtr& aConnection)
{
  if (aConnection->mClosed) {
    return;
  }
  aConnection->mClosed = true;
  if (aConnection->mDeadline) {
    mDeadlines.Cancel(*aConnection->mDeadline);
    aConnection->mDeadline.reset();
  }
  error_code ignored;
  aConnection->mSocket.close(ignored);
  mConnections.erase(aConnection);
}

AsyncHttpServer::AsyncHttpServer(boost::asio::io_context& aLoop,
                                 Deadlines& aDeadlines,
                                 const HttpLimits& aLimits,
                                 IncomingRequestHandler aHandler)
  : mState(
      std::make_shared<State>(aLoop, aDeadlines, aLimits, std::move(aHandler)))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
  mState->mStopped = true;
  error_code ignored;
  mState->mAcceptor.close(ignored);
  const std::set<State::ConnectionPtr> connections = mState->mConnections;
  for (const State::ConnectionPtr& connection : connections) {
    mState->Close(connection);
  }
}

Outcome<Done>
AsyncHttpServer::Listen(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  error_code error;
  const auto ip = boost::asio::ip::make_address(
    aAddress.substr(0, colon == std::string::npos ? 0 : colon), error);
  if (error) {
    return Error{ ErrorKind::InvalidInput,
                  "\"" + aAddress + "\" is not an IP address with a port" };
  }
  const auto port =
    static_cast<unsigned short>(std::atoi(aAddress.c_str() + colon + 1));
  const tcp::endpoint endpoint(ip, port);
  tcp::acceptor& acceptor = mState->mAcceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{ ErrorKind::Unavailable,
                  "can't listen on " + aAddress + ": " + error.message() };
  }
  mState->Accept();
  return Done{};
}

void
AsyncHttpServer::Drain()
{
  mState->mDraining = true;
  const std::set<State::ConnectionPtr> connections = mState->mConnections;
  for (const State::ConnectionPtr& connection : connections) {
    if (!connection->mHandling && connection->mUnparsed.empty() &&
        connection->mParser && !connection->mParser->got_some()) {
      mState->Close(connection);
    }
  }
}

void
AsyncHttpServer::SetLimits(const HttpLimits& aLimits)
{
  mState->mLimits = aLimits;
}

std::size_t
AsyncHttpServer::Active() const
{
  return mState->mActive;
}

} // namespace paddle
