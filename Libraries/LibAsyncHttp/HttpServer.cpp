// Boost 1.74 uses std::exchange in its coroutine support without including
// <utility>, so <utility> must come before Asio.
#include <utility>

#include <LibAsyncHttp/HttpServer.h>
#include <LibAsyncHttp/MessageReader.h>
#include <LibTime/BootClock.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <set>
#include <string_view>

namespace paddle {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Most bytes that are read at once.
constexpr std::size_t kReadBufferBytes = 16384;
/// Most input that is read behind a request whose response is not written yet.
/// Such input is read to notice when the caller closes the connection; then the
/// kernel holds the caller back.
constexpr std::size_t kPipelinedBytes = 16384;
/// A buffer of input that is larger than this is freed when it becomes empty.
constexpr std::size_t kKeptBufferBytes = 1024;
/// After a request was refused, up to this much of its rest is read and
/// dropped, for up to this time. Closing the connection before would make the
/// kernel send a reset, and the caller might lose the response.
constexpr std::size_t kDroppedBytes = 262144;
constexpr Millis kDropTime{ 1000 };
/// A request that can't be handled beside others may be sent again after this.
constexpr const char* kRetryAfterSeconds = "1";
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

/// @return the status code for a request with a fault, after counting it
int
CountFault(MessageFault aFault, BudgetCounts& aCounts)
{
  switch (aFault) {
    case MessageFault::BodyTooLong:
      ++aCounts.mBodyTooLong;
      return 413;
    case MessageFault::HeadTooLong:
      ++aCounts.mHeadTooLong;
      return 431;
    case MessageFault::Malformed:
    case MessageFault::FramingTooLong:
      break;
  }
  ++aCounts.mMalformed;
  return 400;
}

} // namespace

struct AsyncHttpServer::State : std::enable_shared_from_this<State>
{
  /// What a connection is doing.
  enum class Step
  {
    Idle,      ///< No byte of the next request has arrived.
    Receiving, ///< A request arrives.
    Handling,  ///< The handler has not replied yet.
    Replying,  ///< The response is being written.
    Dropping   ///< The rest of a refused request is read and dropped.
  };

  struct Connection
  {
    explicit Connection(tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    tcp::socket mSocket;
    std::string mInput; ///< Bytes received that no request has taken yet.
    std::optional<RequestReader> mReader; ///< Of the request that arrives.
    std::string mOutgoing;
    Step mStep = Step::Idle;
    bool mClosed = false;
    bool mEnded = false;   ///< The caller has shut down its sending side.
    bool mReading = false; ///< Waits until the socket is readable.
    std::size_t mDroppedBytes = 0;
    MonotonicTime mWaitingSince; ///< For a complete request.
    ConnectionBudget::Id mId = 0;
    std::optional<Deadlines::Key> mDeadline;

    /// @return whether a request has been taken whose response is not written
    [[nodiscard]] bool Busy() const
    {
      return mStep == Step::Handling || mStep == Step::Replying;
    }
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  State(boost::asio::io_context& aLoop,
        Deadlines& aDeadlines,
        const HttpLimits& aLimits,
        IncomingRequestHandler aHandler,
        std::shared_ptr<ConnectionBudget> aBudget)
    : mAcceptor(aLoop)
    , mDeadlines(aDeadlines)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
    , mBudget(aBudget ? std::move(aBudget)
                      : std::make_shared<ConnectionBudget>(BudgetLimits{}))
  {
  }

  void Accept();
  /// Serves a new connection, unless there is no place for it.
  void Add(tcp::socket aSocket);
  /// Prepares a connection for its next request.
  void Begin(const ConnectionPtr& aConnection);
  /// Closes the connection after @p aAfter; replaces its earlier deadline.
  void SetDeadline(const ConnectionPtr& aConnection, Millis aAfter);
  void CancelDeadline(Connection& aConnection);
  /// Waits for input, unless it is being waited for or must not be read now.
  void Read(const ConnectionPtr& aConnection);
  /// Handles the end of input, or an error.
  void HandleReadError(const ConnectionPtr& aConnection, error_code aError);
  /// Handles input that has been read.
  void Receive(const ConnectionPtr& aConnection, std::string_view aInput);
  /// Drops input behind a refused request.
  void Drop(const ConnectionPtr& aConnection, std::size_t aCount);
  /// Lets the request take input; handles the request once it is complete.
  /// @param aInput new bytes, which follow those in Connection::mInput
  void Consume(const ConnectionPtr& aConnection, std::string_view aInput);
  void Handle(const ConnectionPtr& aConnection);
  /// Writes a response.
  /// @param aKeepAlive whether the connection may stay open after it
  void Reply(const ConnectionPtr& aConnection,
             const HttpReply& aReply,
             bool aKeepAlive);
  /// Answers a request that is not taken as a whole, and ends the connection.
  void Refuse(const ConnectionPtr& aConnection, int aStatus);
  /// Tells the budget what the connection takes. It may close the connection.
  void UpdateBudget(Connection& aConnection);
  void Close(const ConnectionPtr& aConnection);

  tcp::acceptor mAcceptor;
  Deadlines& mDeadlines;
  HttpLimits mLimits;
  IncomingRequestHandler mHandler;
  std::shared_ptr<ConnectionBudget> mBudget;
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
    self->Add(std::move(aSocket));
    self->Accept();
  });
}

void
AsyncHttpServer::State::Add(tcp::socket aSocket)
{
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
  auto connection = std::make_shared<Connection>(std::move(aSocket));
  std::weak_ptr<State> weakSelf = shared_from_this();
  const std::weak_ptr<Connection> weak = connection;
  const std::optional<ConnectionBudget::Id> id =
    mBudget->Add(BootTime(), [weakSelf, weak] {
      const auto self = weakSelf.lock();
      const auto closed = weak.lock();
      if (self && closed) {
        self->Close(closed);
      }
    });
  if (!id) {
    return;
  }
  connection->mId = *id;
  mConnections.insert(connection);
  Begin(connection);
}

void
AsyncHttpServer::State::Begin(const ConnectionPtr& aConnection)
{
  aConnection->mStep = Step::Idle;
  aConnection->mWaitingSince = BootTime();
  UpdateBudget(*aConnection);
  if (aConnection->mClosed) {
    return;
  }
  SetDeadline(aConnection, mLimits.mIdleTimeout);
  if (aConnection->mInput.empty()) {
    Read(aConnection);
  } else {
    Consume(aConnection, {});
  }
}

void
AsyncHttpServer::State::SetDeadline(const ConnectionPtr& aConnection,
                                    Millis aAfter)
{
  CancelDeadline(*aConnection);
  auto self = shared_from_this();
  aConnection->mDeadline =
    mDeadlines.Add(BootTime() + aAfter, [self, aConnection] {
      aConnection->mDeadline.reset();
      self->Close(aConnection);
    });
}

void
AsyncHttpServer::State::CancelDeadline(Connection& aConnection)
{
  if (aConnection.mDeadline) {
    mDeadlines.Cancel(*aConnection.mDeadline);
    aConnection.mDeadline.reset();
  }
}

void
AsyncHttpServer::State::Read(const ConnectionPtr& aConnection)
{
  if (aConnection->mReading ||
      (aConnection->Busy() &&
       (aConnection->mEnded || aConnection->mInput.size() >= kPipelinedBytes ||
        !mBudget->MayReadAhead()))) {
    return;
  }
  aConnection->mReading = true;
  auto self = shared_from_this();
  // NOTE: Reading into a buffer of the stack once there is input saves a buffer
  // for each connection.
  aConnection->mSocket.async_wait(
    tcp::socket::wait_read, [self, aConnection](error_code aError) {
      Connection& connection = *aConnection;
      connection.mReading = false;
      if (connection.mClosed) {
        return;
      }
      std::array<char, kReadBufferBytes> buffer;
      std::size_t count = 0;
      if (!aError) {
        const std::size_t room =
          connection.Busy()
            ? kPipelinedBytes -
                std::min(kPipelinedBytes, connection.mInput.size())
            : kReadBufferBytes;
        if (room == 0) {
          return;
        }
        count = connection.mSocket.read_some(
          boost::asio::buffer(buffer.data(), room), aError);
      }
      if (aError == boost::asio::error::would_block) {
        self->Read(aConnection);
      } else if (aError) {
        self->HandleReadError(aConnection, aError);
      } else {
        self->Receive(aConnection, { buffer.data(), count });
      }
    });
}

void
AsyncHttpServer::State::HandleReadError(const ConnectionPtr& aConnection,
                                        error_code aError)
{
  // NOTE: A caller may shut down its sending side and still wait for the
  // response, so a request that is being handled is not aborted.
  if (aConnection->Busy() && aError == boost::asio::error::eof) {
    aConnection->mEnded = true;
    return;
  }
  Close(aConnection);
}

void
AsyncHttpServer::State::Receive(const ConnectionPtr& aConnection,
                                std::string_view aInput)
{
  if (aConnection->mStep == Step::Dropping) {
    Drop(aConnection, aInput.size());
  } else if (aConnection->Busy()) {
    aConnection->mInput.append(aInput);
    UpdateBudget(*aConnection);
    if (!aConnection->mClosed) {
      Read(aConnection);
    }
  } else {
    Consume(aConnection, aInput);
  }
}

void
AsyncHttpServer::State::Drop(const ConnectionPtr& aConnection,
                             std::size_t aCount)
{
  aConnection->mDroppedBytes += aCount;
  if (aConnection->mDroppedBytes > kDroppedBytes) {
    Close(aConnection);
  } else {
    Read(aConnection);
  }
}

void
AsyncHttpServer::State::Consume(const ConnectionPtr& aConnection,
                                std::string_view aInput)
{
  Connection& connection = *aConnection;
  const bool first = connection.mStep == Step::Idle;
  if (first) {
    connection.mStep = Step::Receiving;
    connection.mReader.emplace(
      MessageLimits{ mLimits.mHeaderBytes, mLimits.mBodyBytes });
  }
  RequestReader& reader = *connection.mReader;
  const std::size_t bodyBytes = reader.BodyBytes();
  if (connection.mInput.empty()) {
    connection.mInput.append(aInput.substr(reader.Take(aInput)));
  } else {
    connection.mInput.append(aInput);
    connection.mInput.erase(0, reader.Take(connection.mInput));
  }
  if (connection.mInput.empty() &&
      connection.mInput.capacity() > kKeptBufferBytes) {
    connection.mInput = std::string();
  }
  if (reader.Fault()) {
    Refuse(aConnection, CountFault(*reader.Fault(), mBudget->mCounts));
    return;
  }
  if (reader.Complete()) {
    Handle(aConnection);
    return;
  }
  UpdateBudget(connection);
  if (connection.mClosed) {
    return;
  }
  if (first || reader.BodyBytes() > bodyBytes) {
    SetDeadline(aConnection, mLimits.mRequestTimeout);
  }
  Read(aConnection);
}

void
AsyncHttpServer::State::Handle(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  CancelDeadline(connection);
  RequestReader::Message& message = connection.mReader->Content();
  const bool hasBothLengths = message.count(http::field::content_length) > 0 &&
                              message.count(http::field::transfer_encoding) > 0;
  if (hasBothLengths || message.count(http::field::content_length) > 1) {
    // A request whose length is given twice could be split differently by a
    // proxy and by this server (request smuggling).
    Refuse(aConnection, CountFault(MessageFault::Malformed, mBudget->mCounts));
    return;
  }
  const bool keepAlive = connection.mReader->KeepAlive();
  const std::size_t bodyBytes = message.body().size();
  if (!mBudget->BeginHandling(bodyBytes)) {
    connection.mReader.reset();
    Reply(aConnection,
          { 503, {}, {}, { { "Retry-After", kRetryAfterSeconds } } },
          keepAlive);
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
  connection.mReader.reset();
  connection.mStep = Step::Handling;
  UpdateBudget(connection);
  if (connection.mClosed) {
    mBudget->EndHandling(bodyBytes);
    return;
  }
  ++mActive;
  std::weak_ptr<State> weak = shared_from_this();
  mHandler(std::move(incoming),
           [weak, aConnection, keepAlive, bodyBytes](const HttpReply& aReply) {
             const auto self = weak.lock();
             if (!self) {
               return;
             }
             --self->mActive;
             self->mBudget->EndHandling(bodyBytes);
             if (!aConnection->mClosed) {
               self->Reply(aConnection, aReply, keepAlive);
             }
           });
  // NOTE: The connection is read also while the request is handled, to notice
  // when the caller closes it.
  if (!connection.mClosed && connection.mStep == Step::Handling) {
    Read(aConnection);
  }
}

void
AsyncHttpServer::State::Reply(const ConnectionPtr& aConnection,
                              const HttpReply& aReply,
                              bool aKeepAlive)
{
  const bool keepAlive = aKeepAlive && !mDraining &&
                         !(aConnection->mEnded && aConnection->mInput.empty());
  aConnection->mStep = Step::Replying;
  aConnection->mOutgoing = Serialize(aReply, keepAlive);
  UpdateBudget(*aConnection);
  if (aConnection->mClosed) {
    return;
  }
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
      aConnection->mOutgoing = std::string();
      self->Begin(aConnection);
    });
}

void
AsyncHttpServer::State::Refuse(const ConnectionPtr& aConnection, int aStatus)
{
  aConnection->mReader.reset();
  aConnection->mInput = std::string();
  aConnection->mStep = Step::Dropping;
  aConnection->mOutgoing = Serialize({ aStatus, {}, {}, {} }, false);
  UpdateBudget(*aConnection);
  if (aConnection->mClosed) {
    return;
  }
  SetDeadline(aConnection, kDropTime);
  auto self = shared_from_this();
  boost::asio::async_write(aConnection->mSocket,
                           boost::asio::buffer(aConnection->mOutgoing),
                           [self, aConnection](error_code aError, std::size_t) {
                             if (aConnection->mClosed) {
                               return;
                             }
                             if (aError) {
                               self->Close(aConnection);
                               return;
                             }
                             error_code ignored;
                             aConnection->mSocket.shutdown(
                               tcp::socket::shutdown_send, ignored);
                             self->Read(aConnection);
                           });
}

void
AsyncHttpServer::State::UpdateBudget(Connection& aConnection)
{
  ConnectionUse use;
  use.mPhase = aConnection.mStep == Step::Handling   ? ConnectionPhase::Handling
               : aConnection.mStep == Step::Replying ? ConnectionPhase::Replying
                                                     : ConnectionPhase::Waiting;
  use.mBufferedBytes =
    aConnection.mInput.capacity() + aConnection.mOutgoing.capacity() +
    (aConnection.mReader ? aConnection.mReader->MemoryBytes() : 0);
  use.mWaitingSince = aConnection.mWaitingSince;
  mBudget->Update(aConnection.mId, use);
}

void
AsyncHttpServer::State::Close(const ConnectionPtr& aConnection)
{
  if (aConnection->mClosed) {
    return;
  }
  aConnection->mClosed = true;
  CancelDeadline(*aConnection);
  error_code ignored;
  aConnection->mSocket.close(ignored);
  // NOTE: The handler may hold the connection until it replies.
  aConnection->mInput = std::string();
  aConnection->mReader.reset();
  mBudget->Remove(aConnection->mId);
  mConnections.erase(aConnection);
}

AsyncHttpServer::AsyncHttpServer(boost::asio::io_context& aLoop,
                                 Deadlines& aDeadlines,
                                 const HttpLimits& aLimits,
                                 IncomingRequestHandler aHandler,
                                 std::shared_ptr<ConnectionBudget> aBudget)
  : mState(std::make_shared<State>(aLoop,
                                   aDeadlines,
                                   aLimits,
                                   std::move(aHandler),
                                   std::move(aBudget)))
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
    if (connection->mStep == State::Step::Idle) {
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
