// Boost 1.74 uses std::exchange in its coroutine support without including
// <utility>, so <utility> must come before Asio.
#include <utility>

#include <LibAsyncHttp/HttpPool.h>
#include <LibAsyncHttp/MessageReader.h>
#include <LibTime/BootClock.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>
#include <poll.h>
#include <string_view>
#include <vector>

namespace paddle {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Longest head of an answer, as for requests. Those of the platform take less
/// than 1 KB.
constexpr std::size_t kAnswerHeadBytes = 16384;
/// Time between an answer and the next call on its connection. Peers read their
/// clocks in milliseconds, and a clock may be 2% slow, so that the reading in
/// the next answer is certainly later.
constexpr Millis kRestTime{ 3 };
/// Interval at which a call whose time is over, but for which bytes have
/// arrived that the loop has not handled, is looked at again.
constexpr Millis kLateEventGrace{ 25 };
/// An answer that is handled later than this after the call's time is over is
/// given up, so that a peer can't keep a call for ever by single bytes.
constexpr Millis kLongestLateness{ 5000 };
/// A call that was sent this much after another one was due to be answered, and
/// is answered before it, shows that the other one was lost. A read that the
/// store is slow with takes 250 ms.
constexpr Millis kReorderMargin{ 250 };
/// Most bytes that are read at once.
constexpr std::size_t kReadBufferBytes = 16384;

/// @return the request as it is sent
std::string
Serialize(const HttpCall& aCall, std::string_view aBody, std::string_view aHost)
{
  std::string text;
  text.reserve(160 + aCall.mTarget.size() + aBody.size());
  text += aCall.mMethod;
  text += ' ';
  text += aCall.mTarget;
  text += " HTTP/1.1\r\nHost: ";
  text += aHost;
  text += "\r\n";
  for (const auto& [name, value] : aCall.mHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aBody.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: ";
  text += std::to_string(aBody.size());
  text += "\r\n\r\n";
  text += aBody;
  return text;
}

} // namespace

AnswerOrigin
CheckPeerClock(std::optional<std::int64_t> aClockMs, AnswerHistory& aHistory)
{
  if (!aClockMs) {
    return AnswerOrigin::Unproved;
  }
  if (aHistory.mPeerClockMs && *aClockMs <= *aHistory.mPeerClockMs) {
    return AnswerOrigin::Earlier;
  }
  aHistory.mPeerClockMs = aClockMs;
  return AnswerOrigin::Own;
}

struct HttpPool::State : std::enable_shared_from_this<State>
{
  /// A call without an answer yet.
  struct PendingCall
  {
    HttpCall mCall;
    AnswerHandler mDone;
    MonotonicTime mExpiresAt;
    MonotonicTime mSentAt{};        ///< When a connection was told to send it.
    std::uint64_t mQueueNumber = 0; ///< Identifies the call in the queue.
    std::optional<Deadlines::Key> mQueueDeadline{}; ///< While it is queued.
    MonotonicTime mStartedAt{}; ///< When the caller handed it over.
  };

  struct Connection
  {
    explicit Connection(boost::asio::io_context& aLoop)
      : mSocket(aLoop)
    {
    }
    tcp::socket mSocket;
    std::string mInput; ///< Bytes received that no answer has taken yet.
    std::optional<AnswerReader> mReader; ///< While there is a current call.
    std::string mOutgoing;
    std::optional<PendingCall> mCurrent; ///< Empty while idle.
    std::size_t mReceivedBytes = 0;      ///< Of the current call's answer.
    bool mMayBeSent = false; ///< Some bytes of a request may have been sent.
    /// The first time-out of the current call, or of its present stall, is over
    /// and HttpCall::mTimeoutFactor applies.
    bool mExtended = false;
    bool mConnected = false;
    bool mClosed = false;
    bool mAnswered = false;  ///< A call has been answered on it.
    MonotonicTime mOpenedAt; ///< When it was established.
    MonotonicTime mHeardAt;  ///< When it was opened, or bytes last arrived.
    std::optional<Deadlines::Key> mDeadline;
    AnswerHistory mHistory;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  State(boost::asio::io_context& aLoop,
        Deadlines& aDeadlines,
        std::string aAddress,
        std::size_t aMaxConnections,
        Millis aMaxIdleTime)
    : mLoop(aLoop)
    , mDeadlines(aDeadlines)
    , mAddress(std::move(aAddress))
    , mMaxConnections(aMaxConnections)
    , mMaxIdleTime(aMaxIdleTime)
    , mRestTimer(aLoop)
  {
  }

  /// @return whether the answer to the current call has begun to arrive, so
  ///         that only its time-outs for the transfer apply
  static bool InTransfer(const Connection& aConnection)
  {
    return aConnection.mReceivedBytes > 0 && aConnection.mCurrent &&
           aConnection.mCurrent->mCall.mTransferTimeouts;
  }

  /// Sends the call on an idle or a new connection, or queues it.
  void Start(PendingCall aPending);
  /// Takes the most recently used connection that has rested since its last
  /// answer. Closes those that were idle for too long.
  /// @return the connection, or null if there is none
  ConnectionPtr TakeIdle();
  /// Queues the call until a connection is free.
  void Enqueue(PendingCall aPending);
  PendingCall Dequeue();
  /// Ends the current call of a connection, nothing of which has been sent, as
  /// not sent. The connection is idle then.
  void Withdraw(const ConnectionPtr& aConnection);
  /// Sends queued calls as soon as idle connections have rested.
  void ServeQueueAfterRest();
  /// Opens a connection and sends the call on it.
  void Open(PendingCall aPending);
  /// Lets the time-out of the current call start anew.
  void RestartDeadline(const ConnectionPtr& aConnection);
  /// Sends the call on a connection that is open and idle.
  void Assign(const ConnectionPtr& aConnection, PendingCall aPending);
  /// @return the body of the current call for the peer of its connection
  [[nodiscard]] std::string_view BodyFor(const Connection& aConnection) const;
  void Write(const ConnectionPtr& aConnection);
  /// Prepares the connection for the first byte of an answer.
  static void ExpectAnswer(Connection& aConnection);
  void Read(const ConnectionPtr& aConnection);
  /// Handles input that has been read.
  void Receive(const ConnectionPtr& aConnection, std::string_view aInput);
  /// Replaces the time-out of a call whose answer has begun to arrive, if the
  /// call has time-outs for that.
  void ExtendDeadline(const ConnectionPtr& aConnection);
  /// Lets the answer take input; finishes the call once it is complete.
  /// @param aInput new bytes, which follow those in Connection::mInput
  void Consume(const ConnectionPtr& aConnection, std::string_view aInput);
  /// Whether a connection can be used again after an answer.
  enum class Reuse
  {
    Allowed,
    Unsafe,      ///< The answer may be that of another call.
    ClosedByPeer ///< The peer has announced that it closes the connection.
  };
  /// Completes the current call and reuses or closes the connection.
  void Finish(const ConnectionPtr& aConnection,
              HttpAnswer aAnswer,
              Reuse aReuse);
  /// Closes the connection; opens another one if a call is queued.
  void Close(const ConnectionPtr& aConnection);
  /// Why a call fails.
  enum class FailCause
  {
    Broken, ///< The connection or the answer can't be used any more.
    Late    ///< See HttpAnswer::mLate.
  };
  /// Closes the connection and completes its current call, if any, as failed.
  void Fail(const ConnectionPtr& aConnection,
            FailCause aCause = FailCause::Broken);
  /// @return whether the answer to the current call, or its further bytes, must
  ///         have been lost, because a later call was answered
  [[nodiscard]] bool IsOvertaken(const Connection& aConnection) const;
  /// Gives the current call more time, once, if HttpCall::mTimeoutFactor allows
  /// it.
  /// @return whether it did
  bool ExtendByTimeoutFactor(const ConnectionPtr& aConnection);
  /// Records that a call was answered, and ends those that it has overtaken.
  void RecordAnswer(MonotonicTime aSentAt);
  /// @return whether bytes have arrived, or the connection has been established
  ///         or has ended, and the loop has not handled it yet
  static bool HasUnhandledEvent(Connection& aConnection);
  /// Fails the connection because its call has got no answer, or no further
  /// bytes of it, in time. It is kept for a while if this process is late and
  /// not the peer.
  void Expire(const ConnectionPtr& aConnection);
  /// Closes the connections that may have fallen silent together with one on
  /// which a call got no answer: those that are idle or carry a long poll from
  /// before that call, and have not been heard since either. Otherwise the
  /// next call, or the long poll, could wait out its time-out as well. Long
  /// polls go on if a connection from before that call has been heard since:
  /// then the peer may just have been slow with that call. A newer connection
  /// says nothing about the older ones. An answer that has begun to arrive also
  /// goes on, until its own time-out for a stall, and so does a call with
  /// HttpCall::mTimeoutFactor.
  /// @param aSilentSince when the call without an answer was sent, or when
  ///                     bytes of its answer last arrived
  /// @param aSilent      the connection of that call
  void DropSuspects(MonotonicTime aSilentSince, const ConnectionPtr& aSilent);

  boost::asio::io_context& mLoop;
  Deadlines& mDeadlines;
  std::string mAddress;
  std::size_t mMaxConnections;
  Millis mMaxIdleTime;
  std::uint64_t mLastQueueNumber = 0;
  MonotonicTime mLatestAnsweredCall; ///< When that one was sent.
  /// Identity of the peer's process if it closed the connection of the latest
  /// answer, which was the first one on it. A peer that closes each connection
  /// would otherwise never be known.
  std::optional<std::int64_t> mClosingPeer;
  bool mStopped = false;
  std::vector<ConnectionPtr> mConnections;
  std::vector<ConnectionPtr> mIdle;
  std::deque<PendingCall> mQueue;
  boost::asio::steady_timer mRestTimer;
  bool mRestTimerSet = false; ///< The timer runs.
};

void
HttpPool::State::Start(PendingCall aPending)
{
  if (const ConnectionPtr connection = TakeIdle()) {
    Assign(connection, std::move(aPending));
    return;
  }
  // The connections that are left in mIdle rest. Each of them serves one of the
  // queued calls within a few milliseconds, sooner than a new connection.
  if (mIdle.size() > mQueue.size()) {
    Enqueue(std::move(aPending));
    ServeQueueAfterRest();
    return;
  }
  if (mConnections.size() < mMaxConnections) {
    Open(std::move(aPending));
    return;
  }
  Enqueue(std::move(aPending));
}

HttpPool::State::ConnectionPtr
HttpPool::State::TakeIdle()
{
  const MonotonicTime now = BootTime();
  for (std::size_t i = mIdle.size(); i-- > 0;) {
    ConnectionPtr connection = mIdle[i];
    const auto idleTime =
      std::chrono::duration_cast<Millis>(now - connection->mHeardAt);
    if (idleTime < kRestTime) {
      continue;
    }
    mIdle.erase(mIdle.begin() + static_cast<std::ptrdiff_t>(i));
    if (idleTime <= mMaxIdleTime) {
      return connection;
    }
    Close(connection);
  }
  return nullptr;
}

void
HttpPool::State::Enqueue(PendingCall aPending)
{
  // A call that is still queued when it expires was certainly not sent.
  aPending.mQueueNumber = ++mLastQueueNumber;
  auto self = shared_from_this();
  aPending.mQueueDeadline =
    mDeadlines.Add(aPending.mExpiresAt, [self, number = mLastQueueNumber] {
      const auto found = std::find_if(self->mQueue.begin(),
                                      self->mQueue.end(),
                                      [&](const PendingCall& aEntry) {
                                        return aEntry.mQueueNumber == number;
                                      });
      if (found == self->mQueue.end()) {
        return;
      }
      const AnswerHandler done = std::move(found->mDone);
      self->mQueue.erase(found);
      HttpAnswer answer;
      answer.mFailure = CallFailure::NotSent;
      done(std::move(answer));
    });
  if (!aPending.mCall.mUrgent) {
    mQueue.push_back(std::move(aPending));
    return;
  }
  const auto behindUrgent =
    std::find_if(mQueue.begin(), mQueue.end(), [](const PendingCall& aEntry) {
      return !aEntry.mCall.mUrgent;
    });
  mQueue.insert(behindUrgent, std::move(aPending));
}

void
HttpPool::State::Withdraw(const ConnectionPtr& aConnection)
{
  if (aConnection->mDeadline) {
    mDeadlines.Cancel(*aConnection->mDeadline);
    aConnection->mDeadline.reset();
  }
  AnswerHandler done = std::move(aConnection->mCurrent->mDone);
  aConnection->mCurrent.reset();
  mIdle.push_back(aConnection);
  // The handler must not be called from within Send().
  boost::asio::post(mLoop, [done = std::move(done)] {
    HttpAnswer answer;
    answer.mFailure = CallFailure::NotSent;
    done(std::move(answer));
  });
  if (!mQueue.empty()) {
    ServeQueueAfterRest();
  }
}

HttpPool::State::PendingCall
HttpPool::State::Dequeue()
{
  PendingCall next = std::move(mQueue.front());
  mQueue.pop_front();
  if (next.mQueueDeadline) {
    mDeadlines.Cancel(*next.mQueueDeadline);
    next.mQueueDeadline.reset();
  }
  return next;
}

void
HttpPool::State::ServeQueueAfterRest()
{
  if (mRestTimerSet) {
    return;
  }
  mRestTimerSet = true;
  mRestTimer.expires_after(kRestTime);
  std::weak_ptr<State> weak = shared_from_this();
  mRestTimer.async_wait([weak](error_code aError) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->mRestTimerSet = false;
    if (aError || self->mStopped) {
      return;
    }
    while (!self->mQueue.empty()) {
      const ConnectionPtr connection = self->TakeIdle();
      if (!connection) {
        break;
      }
      self->Assign(connection, self->Dequeue());
    }
    if (!self->mQueue.empty() && !self->mIdle.empty()) {
      self->ServeQueueAfterRest();
    }
  });
}

void
HttpPool::State::Open(PendingCall aPending)
{
  auto connection = std::make_shared<Connection>(mLoop);
  mConnections.push_back(connection);
  connection->mCurrent = std::move(aPending);
  auto self = shared_from_this();
  connection->mDeadline =
    mDeadlines.Add(connection->mCurrent->mExpiresAt,
                   [self, connection] { self->Expire(connection); });
  const std::size_t colon = mAddress.rfind(':');
  error_code bad;
  const auto ip = boost::asio::ip::make_address(
    mAddress.substr(0, colon == std::string::npos ? 0 : colon), bad);
  const int port =
    colon == std::string::npos ? 0 : std::atoi(mAddress.c_str() + colon + 1);
  if (bad || port <= 0 || port > 65535) {
    boost::asio::post(mLoop, [self, connection] { self->Fail(connection); });
    return;
  }
  connection->mSocket.async_connect(
    tcp::endpoint(ip, static_cast<unsigned short>(port)),
    [self, connection](error_code aError) {
      if (connection->mClosed) {
        return;
      }
      if (aError) {
        self->Fail(connection);
        return;
      }
      connection->mConnected = true;
      connection->mOpenedAt = BootTime();
      connection->mHeardAt = connection->mOpenedAt;
      error_code ignored;
      connection->mSocket.set_option(tcp::no_delay(true), ignored);
      connection->mSocket.non_blocking(true, ignored);
      if (connection->mCurrent->mCall.mTimeoutAfterOpening) {
        self->RestartDeadline(connection);
      }
      self->Write(connection);
      self->Read(connection);
    });
}

void
HttpPool::State::RestartDeadline(const ConnectionPtr& aConnection)
{
  if (aConnection->mDeadline) {
    mDeadlines.Cancel(*aConnection->mDeadline);
  }
  PendingCall& call = *aConnection->mCurrent;
  call.mExpiresAt = BootTime() + call.mCall.mTimeout;
  auto self = shared_from_this();
  aConnection->mDeadline = mDeadlines.Add(
    call.mExpiresAt, [self, aConnection] { self->Expire(aConnection); });
}

void
HttpPool::State::Assign(const ConnectionPtr& aConnection, PendingCall aPending)
{
  aConnection->mCurrent = std::move(aPending);
  aConnection->mExtended = false;
  auto self = shared_from_this();
  aConnection->mDeadline =
    mDeadlines.Add(aConnection->mCurrent->mExpiresAt,
                   [self, aConnection] { self->Expire(aConnection); });
  Write(aConnection);
}

void
HttpPool::State::ExpectAnswer(Connection& aConnection)
{
  aConnection.mReader.emplace(MessageLimits{
    kAnswerHeadBytes, aConnection.mCurrent->mCall.mMaxAnswerBytes });
  aConnection.mReceivedBytes = aConnection.mInput.size();
}

std::string_view
HttpPool::State::BodyFor(const Connection& aConnection) const
{
  const HttpCall& call = aConnection.mCurrent->mCall;
  const std::optional<std::int64_t>& peer =
    aConnection.mHistory.mPeerIdentity ? aConnection.mHistory.mPeerIdentity
                                       : mClosingPeer;
  return call.mBodyForOthers && call.mBodyForOthers->mPeerIdentity != peer
           ? call.mBodyForOthers->mBody
           : call.mBody;
}

void
HttpPool::State::Write(const ConnectionPtr& aConnection)
{
  const std::function<bool()>& stillWanted =
    aConnection->mCurrent->mCall.mStillWanted;
  if (stillWanted && !stillWanted()) {
    Withdraw(aConnection);
    return;
  }
  aConnection->mOutgoing =
    Serialize(aConnection->mCurrent->mCall, BodyFor(*aConnection), mAddress);
  ExpectAnswer(*aConnection);
  aConnection->mMayBeSent = true;
  aConnection->mCurrent->mSentAt = BootTime();
  auto self = shared_from_this();
  boost::asio::async_write(aConnection->mSocket,
                           boost::asio::buffer(aConnection->mOutgoing),
                           [self, aConnection](error_code aError, std::size_t) {
                             if (aError && !aConnection->mClosed) {
                               self->Fail(aConnection);
                             }
                           });
}

void
HttpPool::State::Read(const ConnectionPtr& aConnection)
{
  auto self = shared_from_this();
  // NOTE: An asynchronous read would first try to read at once, which fails
  // because the answer is never there yet. Waiting until the socket is readable
  // saves that system call for each answer.
  aConnection->mSocket.async_wait(
    tcp::socket::wait_read, [self, aConnection](error_code aError) {
      if (aConnection->mClosed) {
        return;
      }
      std::array<char, kReadBufferBytes> buffer;
      std::size_t count = 0;
      if (!aError) {
        count =
          aConnection->mSocket.read_some(boost::asio::buffer(buffer), aError);
      }
      if (aError == boost::asio::error::would_block) {
        self->Read(aConnection);
      } else if (aError) {
        self->Fail(aConnection);
      } else {
        self->Receive(aConnection, { buffer.data(), count });
      }
    });
}

void
HttpPool::State::Receive(const ConnectionPtr& aConnection,
                         std::string_view aInput)
{
  aConnection->mReceivedBytes += aInput.size();
  aConnection->mHeardAt = BootTime();
  Consume(aConnection, aInput);
}

void
HttpPool::State::ExtendDeadline(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  const std::optional<TransferTimeouts>& timeouts =
    connection.mCurrent->mCall.mTransferTimeouts;
  if (!timeouts) {
    return;
  }
  if (connection.mDeadline) {
    mDeadlines.Cancel(*connection.mDeadline);
  }
  connection.mExtended = false;
  const MonotonicTime stallEnd = connection.mHeardAt + timeouts->mStall;
  const MonotonicTime totalEnd =
    connection.mCurrent->mSentAt + timeouts->mTotal;
  auto self = shared_from_this();
  if (stallEnd < totalEnd) {
    connection.mDeadline = mDeadlines.Add(
      stallEnd, [self, aConnection] { self->Expire(aConnection); });
  } else {
    // An answer that takes too long but still arrives is no sign that other
    // connections are silent.
    connection.mDeadline = mDeadlines.Add(
      totalEnd, [self, aConnection] { self->Fail(aConnection); });
  }
}

void
HttpPool::State::Consume(const ConnectionPtr& aConnection,
                         std::string_view aInput)
{
  Connection& connection = *aConnection;
  if (!connection.mCurrent) {
    // The peer sent bytes although no request is pending, so the boundaries of
    // messages on this connection are no longer known.
    Fail(aConnection);
    return;
  }
  AnswerReader& reader = *connection.mReader;
  if (connection.mInput.empty()) {
    connection.mInput.append(aInput.substr(reader.Take(aInput)));
  } else {
    connection.mInput.append(aInput);
    connection.mInput.erase(0, reader.Take(connection.mInput));
  }
  if (reader.Fault()) {
    Fail(aConnection);
    return;
  }
  if (!reader.Complete()) {
    ExtendDeadline(aConnection);
    if (connection.mCurrent->mCall.mOnProgress) {
      connection.mCurrent->mCall.mOnProgress(connection.mReceivedBytes);
    }
    Read(aConnection);
    return;
  }
  HttpAnswer answer;
  answer.mStatus = static_cast<int>(reader.Content().result_int());
  answer.mBody = std::move(reader.Content().body());
  answer.mReceivedBytes = connection.mReceivedBytes;
  answer.mCallId = std::string(reader.Content()[kCallIdHeader]);
  const bool keepAlive = reader.KeepAlive();
  const AnswerCheck& check = connection.mCurrent->mCall.mCheckAnswer;
  const AnswerOrigin origin =
    check ? check(answer, connection.mHistory) : AnswerOrigin::Unproved;
  if (origin == AnswerOrigin::Earlier) {
    ExpectAnswer(connection);
    if (!connection.mInput.empty()) {
      Consume(aConnection, {});
    } else {
      Read(aConnection);
    }
    return;
  }
  Finish(aConnection,
         std::move(answer),
         origin != AnswerOrigin::Own ? Reuse::Unsafe
         : keepAlive                 ? Reuse::Allowed
                                     : Reuse::ClosedByPeer);
}

void
HttpPool::State::Finish(const ConnectionPtr& aConnection,
                        HttpAnswer aAnswer,
                        Reuse aReuse)
{
  Connection& connection = *aConnection;
  if (connection.mDeadline) {
    mDeadlines.Cancel(*connection.mDeadline);
    connection.mDeadline.reset();
  }
  const AnswerHandler done = std::move(connection.mCurrent->mDone);
  const MonotonicTime sentAt = connection.mCurrent->mSentAt;
  connection.mCurrent.reset();
  connection.mReader.reset();
  RecordAnswer(sentAt);
  const bool firstAnswer = !std::exchange(connection.mAnswered, true);
  if (aReuse != Reuse::Allowed || mStopped || !connection.mInput.empty()) {
    Close(aConnection);
  } else {
    Read(aConnection);
    mIdle.push_back(aConnection);
    if (!mQueue.empty()) {
      ServeQueueAfterRest();
    }
  }
  // A connection that was kept until now is closed by a process that ends, and
  // the next one may lead to its successor.
  mClosingPeer = aReuse == Reuse::ClosedByPeer && firstAnswer
                   ? connection.mHistory.mPeerIdentity
                   : std::nullopt;
  done(std::move(aAnswer));
}

void
HttpPool::State::Close(const ConnectionPtr& aConnection)
{
  if (aConnection->mClosed) {
    return;
  }
  aConnection->mClosed = true;
  mClosingPeer.reset();
  error_code ignored;
  aConnection->mSocket.close(ignored);
  std::erase(mConnections, aConnection);
  std::erase(mIdle, aConnection);
  if (!mQueue.empty() && !mStopped) {
    Open(Dequeue());
  }
}

void
HttpPool::State::Fail(const ConnectionPtr& aConnection, FailCause aCause)
{
  if (aConnection->mClosed) {
    return;
  }
  if (aConnection->mDeadline) {
    mDeadlines.Cancel(*aConnection->mDeadline);
    aConnection->mDeadline.reset();
  }
  std::optional<PendingCall> current = std::move(aConnection->mCurrent);
  aConnection->mCurrent.reset();
  const bool sent = aConnection->mMayBeSent;
  Close(aConnection);
  if (current) {
    HttpAnswer answer;
    answer.mFailure = sent ? CallFailure::NoAnswer : CallFailure::NotSent;
    answer.mReceivedBytes = aConnection->mReceivedBytes;
    answer.mLate = aCause == FailCause::Late;
    current->mDone(std::move(answer));
  }
}

bool
HttpPool::State::IsOvertaken(const Connection& aConnection) const
{
  const PendingCall& call = *aConnection.mCurrent;
  const MonotonicTime dueAt = InTransfer(aConnection) ? aConnection.mHeardAt
                              : !aConnection.mConnected
                                ? call.mStartedAt
                                : call.mSentAt + call.mCall.mAnswerDelay;
  return mLatestAnsweredCall > dueAt + kReorderMargin;
}

bool
HttpPool::State::ExtendByTimeoutFactor(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  if (!connection.mCurrent || connection.mCurrent->mCall.mTimeoutFactor <= 1 ||
      connection.mExtended || IsOvertaken(connection)) {
    return false;
  }
  PendingCall& call = *connection.mCurrent;
  const std::optional<TransferTimeouts>& transfer =
    call.mCall.mTransferTimeouts;
  const MonotonicTime end =
    InTransfer(connection)
      ? std::min(connection.mHeardAt +
                   call.mCall.mTimeoutFactor * transfer->mStall,
                 call.mSentAt + transfer->mTotal)
      : call.mStartedAt + call.mCall.mTimeoutFactor * call.mCall.mTimeout;
  connection.mExtended = true;
  call.mExpiresAt = std::max(call.mExpiresAt, end);
  auto self = shared_from_this();
  connection.mDeadline =
    mDeadlines.Add(end, [self, aConnection] { self->Expire(aConnection); });
  return true;
}

void
HttpPool::State::RecordAnswer(MonotonicTime aSentAt)
{
  mLatestAnsweredCall = std::max(mLatestAnsweredCall, aSentAt);
  auto self = shared_from_this();
  for (const ConnectionPtr& connection : mConnections) {
    if (!connection->mCurrent || !connection->mExtended ||
        !IsOvertaken(*connection)) {
      continue;
    }
    // NOTE: It expires with the next turn of the loop, because its handler must
    // not be called from within the one of the answered call.
    if (connection->mDeadline) {
      mDeadlines.Cancel(*connection->mDeadline);
    }
    connection->mDeadline = mDeadlines.Add(
      BootTime(), [self, connection] { self->Expire(connection); });
  }
}

bool
HttpPool::State::HasUnhandledEvent(Connection& aConnection)
{
  pollfd event{};
  event.fd = aConnection.mSocket.native_handle();
  event.events = aConnection.mConnected ? POLLIN : POLLOUT;
  return ::poll(&event, 1, 0) > 0;
}

void
HttpPool::State::Expire(const ConnectionPtr& aConnection)
{
  const MonotonicTime now = BootTime();
  if (aConnection->mCurrent &&
      now < aConnection->mCurrent->mExpiresAt + kLongestLateness &&
      HasUnhandledEvent(*aConnection)) {
    // The loop handles the event within its next turns. The call expires if the
    // bytes do not complete its answer.
    auto self = shared_from_this();
    aConnection->mDeadline =
      mDeadlines.Add(now + kLateEventGrace,
                     [self, aConnection] { self->Expire(aConnection); });
    return;
  }
  if (ExtendByTimeoutFactor(aConnection)) {
    return;
  }
  if (aConnection->mConnected && aConnection->mCurrent) {
    DropSuspects(
      std::max(aConnection->mCurrent->mSentAt, aConnection->mHeardAt),
      aConnection);
  }
  Fail(aConnection, FailCause::Late);
}

void
HttpPool::State::DropSuspects(MonotonicTime aSilentSince,
                              const ConnectionPtr& aSilent)
{
  std::vector<ConnectionPtr> idle;
  std::vector<ConnectionPtr> longPolls;
  bool heard = false;
  for (const ConnectionPtr& connection : mConnections) {
    if (!connection->mConnected || connection->mHeardAt >= aSilentSince) {
      heard = heard ||
              (connection->mConnected && connection->mOpenedAt < aSilentSince &&
               connection != aSilent);
      continue;
    }
    if (!connection->mCurrent) {
      idle.push_back(connection);
    } else if (connection->mCurrent->mCall.mLongPoll &&
               connection->mCurrent->mCall.mTimeoutFactor <= 1 &&
               connection->mCurrent->mSentAt < aSilentSince &&
               !InTransfer(*connection)) {
      longPolls.push_back(connection);
    }
  }
  // The idle connections go first, because a long poll's handler may send the
  // next call at once.
  for (const ConnectionPtr& connection : idle) {
    Close(connection);
  }
  if (heard) {
    return;
  }
  for (const ConnectionPtr& connection : longPolls) {
    Fail(connection, FailCause::Late);
  }
}

HttpPool::HttpPool(boost::asio::io_context& aLoop,
                   Deadlines& aDeadlines,
                   std::string aAddress,
                   std::size_t aMaxConnections,
                   Millis aMaxIdleTime)
  : mState(std::make_shared<State>(aLoop,
                                   aDeadlines,
                                   std::move(aAddress),
                                   aMaxConnections,
                                   aMaxIdleTime))
{
}

HttpPool::~HttpPool()
{
  mState->mStopped = true;
  mState->mRestTimer.cancel();
  while (!mState->mQueue.empty()) {
    mState->Dequeue();
  }
  const std::vector<State::ConnectionPtr> connections = mState->mConnections;
  for (const State::ConnectionPtr& connection : connections) {
    if (connection->mDeadline) {
      mState->mDeadlines.Cancel(*connection->mDeadline);
    }
    connection->mCurrent.reset();
    mState->Close(connection);
  }
}

void
HttpPool::Send(HttpCall aCall, AnswerHandler aDone)
{
  const MonotonicTime now = BootTime();
  const MonotonicTime until = now + aCall.mTimeout;
  mState->Start({ std::move(aCall), std::move(aDone), until, {}, 0, {}, now });
}

} // namespace paddle
