// Boost 1.74's coroutine support needs <utility> before Asio.
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

constexpr std::size_t kReadSize = 4096;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
constexpr Millis kAcceptPause{ 50 };

std::string_view
ReasonOf(int aStatus)
{
  return { http::obsolete_reason(static_cast<http::status>(aStatus)).data(),
           http::obsolete_reason(static_cast<http::status>(aStatus)).size() };
}

std::string
Serialize(const HttpReply& aReply, bool aKeepAlive)
{
  std::string text;
  text.reserve(160 + aReply.mBody.size());
  text += "HTTP/1.1 ";
  text += std::to_string(aReply.mStatus);
  text += ' ';
  text += ReasonOf(aReply.mStatus);
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

/// @return the status that tells the caller why its request can't be read
int
StatusOf(const error_code& aError)
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
    std::array<char, kReadSize> mBuffer{};
    std::string mUnparsed;
    std::optional<http::request_parser<http::string_body>> mParser;
    std::string mOutgoing;
    bool mHandling = false;
    bool mClosed = false;
    bool mCloseAfterReply = false;
    bool mReading = false;
    std::optional<Deadlines::Key> mDeadline;
  };
  using Shared = std::shared_ptr<Connection>;

  State(boost::asio::io_context& aLoop,
        Deadlines& aDeadlines,
        const HttpLimits& aLimits,
        IncomingHandler aHandler)
    : mAcceptor(aLoop)
    , mDeadlines(aDeadlines)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  void Accept();
  void Begin(const Shared& aConnection);
  void SetDeadline(const Shared& aConnection, Millis aAfter);
  void Read(const Shared& aConnection);
  void Consume(const Shared& aConnection);
  void Handle(const Shared& aConnection);
  void Reply(const Shared& aConnection, const HttpReply& aReply, bool aKeep);
  void Close(const Shared& aConnection);

  tcp::acceptor mAcceptor;
  Deadlines& mDeadlines;
  HttpLimits mLimits;
  IncomingHandler mHandler;
  std::set<Shared> mConnections;
  std::size_t mActive = 0;
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
      self->mDeadlines.Add(BootTime() + kAcceptPause,
                           [self] { self->Accept(); });
      return;
    }
    if (self->mConnections.size() < self->mLimits.mConnections) {
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
AsyncHttpServer::State::Begin(const Shared& aConnection)
{
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
AsyncHttpServer::State::SetDeadline(const Shared& aConnection, Millis aAfter)
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
AsyncHttpServer::State::Read(const Shared& aConnection)
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
        // NOTE: A caller may close its sending side and still wait for the
        // answer, so a request that is being handled goes on.
        if (aConnection->mHandling && aError == boost::asio::error::eof) {
          aConnection->mCloseAfterReply = true;
          return;
        }
        self->Close(aConnection);
        return;
      }
      if (aConnection->mUnparsed.empty() && !aConnection->mHandling) {
        self->SetDeadline(aConnection, self->mLimits.mRequestTimeout);
      }
      aConnection->mUnparsed.append(aConnection->mBuffer.data(), aCount);
      if (!aConnection->mHandling) {
        self->Consume(aConnection);
      }
    });
}

void
AsyncHttpServer::State::Consume(const Shared& aConnection)
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
      Reply(aConnection, { StatusOf(error), {}, {}, {} }, false);
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
AsyncHttpServer::State::Handle(const Shared& aConnection)
{
  Connection& connection = *aConnection;
  if (connection.mDeadline) {
    mDeadlines.Cancel(*connection.mDeadline);
    connection.mDeadline.reset();
  }
  auto& message = connection.mParser->get();
  const bool lengths = message.count(http::field::content_length) > 0 &&
                       message.count(http::field::transfer_encoding) > 0;
  if (lengths || message.count(http::field::content_length) > 1) {
    // Conflicting lengths would let two readers see different requests.
    Reply(aConnection, { 400, {}, {}, {} }, false);
    return;
  }
  HttpIncoming incoming;
  incoming.mMethod = std::string(message.method_string());
  incoming.mTarget = std::string(message.target());
  incoming.mHost = std::string(message[http::field::host]);
  for (const auto& field : message) {
    incoming.mHeaders.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
  }
  incoming.mBody = std::move(message.body());
  const bool keep = message.keep_alive();
  connection.mHandling = true;
  ++mActive;
  std::weak_ptr<State> weak = shared_from_this();
  mHandler(std::move(incoming),
           [weak, aConnection, keep](const HttpReply& aReply) {
             const auto self = weak.lock();
             if (!self) {
               return;
             }
             --self->mActive;
             aConnection->mHandling = false;
             if (!aConnection->mClosed) {
               self->Reply(aConnection, aReply, keep);
             }
           });
  // NOTE: Reading goes on while the request is handled, to notice that the
  // caller has gone.
  if (!connection.mClosed && connection.mHandling) {
    Read(aConnection);
  }
}

void
AsyncHttpServer::State::Reply(const Shared& aConnection,
                              const HttpReply& aReply,
                              bool aKeep)
{
  const bool keep = aKeep && !mDraining && !aConnection->mCloseAfterReply;
  aConnection->mOutgoing = Serialize(aReply, keep);
  SetDeadline(aConnection, mLimits.mRequestTimeout);
  auto self = shared_from_this();
  boost::asio::async_write(
    aConnection->mSocket,
    boost::asio::buffer(aConnection->mOutgoing),
    [self, aConnection, keep](error_code aError, std::size_t) {
      if (aConnection->mClosed) {
        return;
      }
      if (aError || !keep) {
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
AsyncHttpServer::State::Close(const Shared& aConnection)
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
                                 IncomingHandler aHandler)
  : mState(
      std::make_shared<State>(aLoop, aDeadlines, aLimits, std::move(aHandler)))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
  mState->mStopped = true;
  error_code ignored;
  mState->mAcceptor.close(ignored);
  const std::set<State::Shared> connections = mState->mConnections;
  for (const State::Shared& connection : connections) {
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
  const std::set<State::Shared> connections = mState->mConnections;
  for (const State::Shared& connection : connections) {
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
