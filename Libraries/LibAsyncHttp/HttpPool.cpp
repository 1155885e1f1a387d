// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <LibAsyncHttp/HttpPool.h>
#include <LibTime/BootClock.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>
#include <vector>

namespace paddle {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Store answers hold up to 1 MB of rows, encoded in base64 with their keys.
constexpr std::uint64_t kLargestAnswer = 8UL << 20;
constexpr std::size_t kReadSize = 16384;

std::string
Serialize(const HttpCall& aCall, std::string_view aHost)
{
  std::string text;
  text.reserve(160 + aCall.mTarget.size() + aCall.mBody.size());
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
  if (!aCall.mBody.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: ";
  text += std::to_string(aCall.mBody.size());
  text += "\r\n\r\n";
  text += aCall.mBody;
  return text;
}

} // namespace

struct HttpPool::State : std::enable_shared_from_this<State>
{
  struct Waiting
  {
    HttpCall mCall;
    AnswerHandler mDone;
    MonotonicTime mUntil;
    std::uint64_t mNumber = 0;
  };

  struct Connection
  {
    explicit Connection(boost::asio::io_context& aLoop)
      : mSocket(aLoop)
    {
    }
    tcp::socket mSocket;
    std::array<char, kReadSize> mBuffer{};
    std::size_t mFilled = 0;
    std::optional<http::response_parser<http::string_body>> mParser;
    std::string mOutgoing;
    std::optional<Waiting> mCurrent;
    bool mWritten = false; ///< Some bytes of the request may have left.
    bool mConnected = false;
    bool mClosed = false;
    std::optional<Deadlines::Key> mDeadline;
  };
  using Shared = std::shared_ptr<Connection>;

  State(boost::asio::io_context& aLoop,
        Deadlines& aDeadlines,
        std::string aAddress,
        std::size_t aMost)
    : mLoop(aLoop)
    , mDeadlines(aDeadlines)
    , mAddress(std::move(aAddress))
    , mMost(aMost)
  {
  }

  void Start(Waiting aWaiting);
  void Open(Waiting aWaiting);
  void Assign(const Shared& aConnection, Waiting aWaiting);
  void Write(const Shared& aConnection);
  void Read(const Shared& aConnection);
  void Consume(const Shared& aConnection);
  void Finish(const Shared& aConnection, HttpAnswer aAnswer, bool aReusable);
  void Close(const Shared& aConnection);
  void Fail(const Shared& aConnection);

  boost::asio::io_context& mLoop;
  Deadlines& mDeadlines;
  std::string mAddress;
  std::size_t mMost;
  std::uint64_t mQueued = 0;
  bool mStopped = false;
  std::vector<Shared> mConnections;
  std::vector<Shared> mIdle;
  std::deque<Waiting> mQueue;
};

void
HttpPool::State::Start(Waiting aWaiting)
{
  if (!mIdle.empty()) {
    const Shared connection = mIdle.back();
    mIdle.pop_back();
    Assign(connection, std::move(aWaiting));
    return;
  }
  if (mConnections.size() < mMost) {
    Open(std::move(aWaiting));
    return;
  }
  // A call that finds no connection in time was certainly not sent.
  aWaiting.mNumber = ++mQueued;
  auto self = shared_from_this();
  mDeadlines.Add(aWaiting.mUntil, [self, number = mQueued] {
    const auto found = std::find_if(
      self->mQueue.begin(), self->mQueue.end(), [&](const Waiting& aEntry) {
        return aEntry.mNumber == number;
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
  mQueue.push_back(std::move(aWaiting));
}

void
HttpPool::State::Open(Waiting aWaiting)
{
  auto connection = std::make_shared<Connection>(mLoop);
  mConnections.push_back(connection);
  connection->mCurrent = std::move(aWaiting);
  auto self = shared_from_this();
  connection->mDeadline =
    mDeadlines.Add(connection->mCurrent->mUntil,
                   [self, connection] { self->Fail(connection); });
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
      error_code ignored;
      connection->mSocket.set_option(tcp::no_delay(true), ignored);
      connection->mSocket.non_blocking(true, ignored);
      self->Write(connection);
      self->Read(connection);
    });
}

void
HttpPool::State::Assign(const Shared& aConnection, Waiting aWaiting)
{
  aConnection->mCurrent = std::move(aWaiting);
  auto self = shared_from_this();
  aConnection->mDeadline =
    mDeadlines.Add(aConnection->mCurrent->mUntil,
                   [self, aConnection] { self->Fail(aConnection); });
  Write(aConnection);
}

void
HttpPool::State::Write(const Shared& aConnection)
{
  aConnection->mOutgoing = Serialize(aConnection->mCurrent->mCall, mAddress);
  aConnection->mParser.emplace();
  aConnection->mParser->body_limit(kLargestAnswer);
  aConnection->mParser->eager(true);
  aConnection->mWritten = true;
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
HttpPool::State::Read(const Shared& aConnection)
{
  auto self = shared_from_this();
  // NOTE: An asynchronous read would try the socket at once, and an answer is
  // never there yet; waiting first saves a system call for each answer.
  aConnection->mSocket.async_wait(
    tcp::socket::wait_read, [self, aConnection](error_code aError) {
      if (aConnection->mClosed) {
        return;
      }
      Connection& connection = *aConnection;
      std::size_t count = 0;
      if (!aError) {
        count = connection.mSocket.read_some(
          boost::asio::buffer(connection.mBuffer.data() + connection.mFilled,
                              kReadSize - connection.mFilled),
          aError);
      }
      if (aError == boost::asio::error::would_block) {
        self->Read(aConnection);
        return;
      }
      if (aError) {
        self->Fail(aConnection);
        return;
      }
      connection.mFilled += count;
      self->Consume(aConnection);
    });
}

void
HttpPool::State::Consume(const Shared& aConnection)
{
  Connection& connection = *aConnection;
  if (!connection.mCurrent) {
    // Bytes that no request asked for: the framing is lost.
    Fail(aConnection);
    return;
  }
  std::size_t used = 0;
  while (used < connection.mFilled && !connection.mParser->is_done()) {
    error_code error;
    const std::size_t taken = connection.mParser->put(
      boost::asio::const_buffer(connection.mBuffer.data() + used,
                                connection.mFilled - used),
      error);
    used += taken;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      Fail(aConnection);
      return;
    }
    if (taken == 0) {
      break;
    }
  }
  std::copy(connection.mBuffer.begin() + static_cast<std::ptrdiff_t>(used),
            connection.mBuffer.begin() +
              static_cast<std::ptrdiff_t>(connection.mFilled),
            connection.mBuffer.begin());
  connection.mFilled -= used;
  if (!connection.mParser->is_done()) {
    if (connection.mFilled == kReadSize) {
      Fail(aConnection);
      return;
    }
    Read(aConnection);
    return;
  }
  HttpAnswer answer;
  answer.mStatus = static_cast<int>(connection.mParser->get().result_int());
  answer.mBody = std::move(connection.mParser->get().body());
  Finish(aConnection, std::move(answer), connection.mParser->keep_alive());
}

void
HttpPool::State::Finish(const Shared& aConnection,
                        HttpAnswer aAnswer,
                        bool aReusable)
{
  Connection& connection = *aConnection;
  if (connection.mDeadline) {
    mDeadlines.Cancel(*connection.mDeadline);
    connection.mDeadline.reset();
  }
  const AnswerHandler done = std::move(connection.mCurrent->mDone);
  connection.mCurrent.reset();
  if (!aReusable || mStopped || connection.mFilled > 0) {
    Close(aConnection);
  } else {
    Read(aConnection);
    if (mQueue.empty()) {
      mIdle.push_back(aConnection);
    } else {
      Waiting next = std::move(mQueue.front());
      mQueue.pop_front();
      Assign(aConnection, std::move(next));
    }
  }
  done(std::move(aAnswer));
}

void
HttpPool::State::Close(const Shared& aConnection)
{
  if (aConnection->mClosed) {
    return;
  }
  aConnection->mClosed = true;
  error_code ignored;
  aConnection->mSocket.close(ignored);
  std::erase(mConnections, aConnection);
  std::erase(mIdle, aConnection);
  if (!mQueue.empty() && !mStopped) {
    Waiting next = std::move(mQueue.front());
    mQueue.pop_front();
    Open(std::move(next));
  }
}

void
HttpPool::State::Fail(const Shared& aConnection)
{
  if (aConnection->mClosed) {
    return;
  }
  if (aConnection->mDeadline) {
    mDeadlines.Cancel(*aConnection->mDeadline);
    aConnection->mDeadline.reset();
  }
  std::optional<Waiting> current = std::move(aConnection->mCurrent);
  aConnection->mCurrent.reset();
  const bool sent = aConnection->mWritten;
  Close(aConnection);
  if (current) {
    HttpAnswer answer;
    answer.mFailure = sent ? CallFailure::NoAnswer : CallFailure::NotSent;
    current->mDone(std::move(answer));
  }
}

HttpPool::HttpPool(boost::asio::io_context& aLoop,
                   Deadlines& aDeadlines,
                   std::string aAddress,
                   std::size_t aMost)
  : mState(
      std::make_shared<State>(aLoop, aDeadlines, std::move(aAddress), aMost))
{
}

HttpPool::~HttpPool()
{
  mState->mStopped = true;
  mState->mQueue.clear();
  const std::vector<State::Shared> connections = mState->mConnections;
  for (const State::Shared& connection : connections) {
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
  const MonotonicTime until = BootTime() + aCall.mTimeout;
  mState->Start({ std::move(aCall), std::move(aDone), until });
}

} // namespace paddle
