// Boost 1.74's coroutine support needs <utility> before Asio.
#include <utility>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/BootClock.h>

#include "../../platform/Directory.h"
#include "../../platform/StoreClient.h"

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// A configuration without routes, {"version":7,"routes":[]}, in base64.
constexpr std::string_view kOldValue = "eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOltdfQ==";
/// The same with version 8.
constexpr std::string_view kNewValue = "eyJ2ZXJzaW9uIjo4LCJyb3V0ZXMiOltdfQ==";

/// The platform's store on the loopback address, with one row of the operator.
/// Its connections can fall silent: they stay open, but what arrives on them is
/// ignored.
class SilentStore
{
public:
  explicit SilentStore(boost::asio::io_context& aLoop)
    : mLoop(aLoop)
    , mAcceptor(aLoop,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    Accept();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  /// Holds answers to reads back until so many requests have arrived.
  void HoldUntil(std::size_t aRequests) { mHoldUntil = aRequests; }

  /// Silences seven of ten open connections, among them the one that was used
  /// last, which the client uses next if it is idle.
  void SilenceMost()
  {
    mLastUsed->mSilent = true;
    std::size_t silent = mConnections.size() * 7 / 10 - 1;
    // Those that were opened last come next.
    for (auto at = mConnections.rbegin();
         at != mConnections.rend() && silent > 0;
         ++at) {
      if (*at != mLastUsed) {
        (*at)->mSilent = true;
        --silent;
      }
    }
  }

  /// Sends only the first half of the next answer.
  void CutNextAnswer() { mCutNext = true; }

  /// Stores a newer configuration.
  void Change()
  {
    mChanged = true;
    for (const ConnectionPtr& connection : std::exchange(mWaiting, {})) {
      if (!connection->mSilent) {
        Answer(connection);
      }
    }
  }

  /// Takes the newer configuration back.
  void Revert() { mChanged = false; }

  /// @return the number of requests received so far, answered or not
  [[nodiscard]] std::size_t Requests() const { return mRequests; }
  /// @return the number of requests that got no answer or half of one, or that
  ///         wait for a change
  [[nodiscard]] std::size_t Unanswered() const
  {
    return mIgnored + mWaiting.size();
  }

  /// Makes each answer larger by that many bytes.
  void Pad(std::size_t aBytes) { mPadding.assign(aBytes, 'x'); }

private:
  struct Connection
  {
    explicit Connection(boost::asio::io_context& aLoop)
      : mSocket(aLoop)
    {
    }
    tcp::socket mSocket;
    std::array<char, 1024> mBuffer{};
    std::string mIncoming;
    std::string mTable; ///< That the latest request asks for.
    bool mSilent = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    auto connection = std::make_shared<Connection>(mLoop);
    mAcceptor.async_accept(connection->mSocket,
                           [this, connection](error_code aError) {
                             if (!aError) {
                               mConnections.push_back(connection);
                               Read(connection);
                               Accept();
                             }
                           });
  }

  void Read(const ConnectionPtr& aConnection)
  {
    aConnection->mSocket.async_read_some(
      boost::asio::buffer(aConnection->mBuffer),
      [this, aConnection](error_code aError, std::size_t aCount) {
        if (aError) {
          return;
        }
        aConnection->mIncoming.append(aConnection->mBuffer.data(), aCount);
        if (aConnection->mIncoming.ends_with("\r\n\r\n")) {
          Handle(aConnection, std::exchange(aConnection->mIncoming, {}));
        }
        Read(aConnection);
      });
  }

  void Handle(const ConnectionPtr& aConnection, const std::string& aRequest)
  {
    ++mRequests;
    mLastUsed = aConnection;
    const std::size_t table = aRequest.find("table=") + 6;
    aConnection->mTable =
      aRequest.substr(table, aRequest.find_first_of("& ", table) - table);
    if (aConnection->mSilent) {
      ++mIgnored;
      return;
    }
    if (aRequest.find("rows-feed") != std::string::npos && !mChanged) {
      mWaiting.push_back(aConnection);
      return;
    }
    mHeld.push_back(aConnection);
    if (mRequests >= mHoldUntil) {
      for (const ConnectionPtr& connection : std::exchange(mHeld, {})) {
        Answer(connection);
      }
    }
  }

  void Answer(const ConnectionPtr& aConnection)
  {
    const std::string body =
      R"({"rows":[{"table":")" + aConnection->mTable +
      R"(","part":"","key":"config","ver":1,"value":")" +
      std::string(mChanged ? kNewValue : kOldValue) + R"("}],"ver":)" +
      (mChanged ? "2" : "1") + R"(,"now_ms":)" +
      std::to_string(
        std::chrono::duration_cast<Millis>(BootTime().time_since_epoch())
          .count()) +
      R"(,"padding":")" + mPadding + R"("})";
    std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
    if (mCutNext) {
      mCutNext = false;
      ++mIgnored;
      answer.resize(answer.size() / 2);
    }
    boost::asio::write(aConnection->mSocket, boost::asio::buffer(answer));
  }

  boost::asio::io_context& mLoop;
  tcp::acceptor mAcceptor;
  std::vector<ConnectionPtr> mConnections;
  std::vector<ConnectionPtr> mHeld;    ///< Connections that await an answer.
  std::vector<ConnectionPtr> mWaiting; ///< Connections that await a change.
  ConnectionPtr mLastUsed;             ///< Of the last request.
  std::size_t mRequests = 0;
  /// Requests on silent connections, or with half an answer.
  std::size_t mIgnored = 0;
  std::size_t mHoldUntil = 0;
  bool mChanged = false;
  bool mCutNext = false;
  std::string mPadding;
};

} // namespace

/// Open connections to the store fall silent without a reset, and new ones
/// work, as on the days deploy/days/severed.toml and unanswered.toml.
TEST_GROUP(SilentConnections)
{
  /// Within this time, a configuration has to be in force, and a draining
  /// runner gets no more starts.
  static constexpr Millis kBound{ 2500 };
  /// Time-out of the first wait for changes.
  static constexpr Millis kWaitTimeout{ 1900 };
  /// Longest delay before a read that has failed once.
  static constexpr Millis kRetryDelay{ 225 };

  boost::asio::io_context mLoop{ 1 };
  Deadlines mDeadlines;
  SilentStore mStore{ mLoop };
  std::size_t mProgress = 0; ///< Times at which the client reported progress.
  platform::StoreClient mClient{ mLoop,
                                 mDeadlines,
                                 mStore.Address(),
                                 [] {},
                                 [this] { ++mProgress; },
                                 [](const std::string&) {} };
  StorePort mPort = mClient.Port();
  DirectoryPort mDirectory =
    platform::MakeDirectoryPort(mPort, [](const std::string&) {});

  /// A read and its result, once there is one.
  struct Read
  {
    std::optional<bool> mSucceeded;
    std::int64_t mVersion = 0; ///< Of the configuration, if it has changed.
  };

  std::shared_ptr<Read> ReadOperator()
  {
    auto read = std::make_shared<Read>();
    mDirectory.mReadOperatorState(
      kOperatorChangeWait,
      [read](ReadResult aResult, const OperatorState& aState) {
        read->mSucceeded = aResult == ReadResult::Read;
        read->mVersion =
          aState.mConfiguration ? aState.mConfiguration->mVersion : 0;
      });
    return read;
  }

  std::shared_ptr<Read> ReadRunners()
  {
    auto read = std::make_shared<Read>();
    mDirectory.mReadRunners(
      [read](const std::optional<std::vector<dispatch::RunnerSpec>>& aRunners) {
        read->mSucceeded = aRunners.has_value();
      });
    return read;
  }

  /// Runs the loop until the condition holds.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      mLoop.restart();
      mLoop.run_one_for(Millis(10));
    }
  }

  /// Sends a read, and waits until it is answered, or until the store has
  /// received it and doesn't answer.
  std::shared_ptr<Read> Send(
    const std::function<std::shared_ptr<Read>()>& aSend)
  {
    const std::size_t unanswered = mStore.Unanswered();
    std::shared_ptr<Read> read = aSend();
    RunUntil(
      [&] { return read->mSucceeded || mStore.Unanswered() > unanswered; });
    return read;
  }

  /// Opens ten connections by reads that are under way at the same time, and
  /// uses one of them once more.
  void OpenConnections()
  {
    mStore.HoldUntil(mStore.Requests() + 10);
    std::size_t answered = 0;
    const auto read = [&] {
      mPort.mRead("op", "", "", "", [&](const ReadOutcome&) { ++answered; });
    };
    for (int i = 0; i < 10; ++i) {
      read();
    }
    RunUntil([&] { return answered == 10; });
    read();
    RunUntil([&] { return answered == 11; });
  }

  /// Sends a short read of another table, and waits for its answer.
  void ReadOther()
  {
    bool answered = false;
    mPort.mRead(
      "cluster", "", "", "", [&](const ReadOutcome&) { answered = true; });
    RunUntil([&] { return answered; });
  }

  /// Sends a wait for changes, and checks when it fails without an answer.
  void CheckWaitExpiresAfter(Millis aTimeout)
  {
    const MonotonicTime before = BootTime();
    const std::shared_ptr<Read> wait = Send([this] { return ReadOperator(); });
    mDeadlines.Expire(before + aTimeout - Millis(1));
    CHECK_FALSE(wait->mSucceeded.has_value());
    mDeadlines.Expire(BootTime() + aTimeout);
    CHECK_TRUE(wait->mSucceeded.has_value());
    CHECK_FALSE(*wait->mSucceeded);
  }

  /// Runs the loop for that long.
  void RunFor(Millis aTime)
  {
    const MonotonicTime from = BootTime();
    RunUntil([&] { return BootTime() - from > aTime; });
  }

  /// Repeats a read until it succeeds.
  /// @param aFirst a read that has been sent already
  /// @return the time that the calls have taken until their time-outs, with the
  ///         delays between them
  Millis TimeToRead(std::shared_ptr<Read> aFirst,
                    const std::function<std::shared_ptr<Read>()>& aSend)
  {
    constexpr Millis kStep{ 50 };
    Millis sum{ 0 };
    std::shared_ptr<Read> read = std::move(aFirst);
    while (true) {
      for (Millis time{ 0 }; !read->mSucceeded; time += kStep) {
        mDeadlines.Expire(BootTime() + time);
        sum += read->mSucceeded ? time : Millis(0);
      }
      if (*read->mSucceeded) {
        return sum;
      }
      sum += kRetryDelay;
      read = Send(aSend);
    }
  }
};

// Guards against a wait for changes that goes on for 3 s on a silent connection
// while all other calls are answered on other connections: the node learnt of
// a route more than 2.5 s after the operator, and refused requests for it.
TEST(SilentConnections, ARouteIsLearntInTimeByAWaitThatWasInFlight)
{
  const auto send = [this] { return ReadOperator(); };
  RunUntil([read = ReadOperator()] { return read->mSucceeded.has_value(); });
  OpenConnections();
  std::shared_ptr<Read> wait = Send(send);
  CHECK_FALSE(wait->mSucceeded.has_value());
  mStore.SilenceMost();
  mStore.Change();
  const Millis time = TimeToRead(wait, send);
  CHECK_TRUE(time <= kBound);
}

// Guards against a wait for changes that is sent after the silence has begun,
// and whose repetition takes the next silent connection.
TEST(SilentConnections, ARouteIsLearntInTimeByAWaitThatIsSentLater)
{
  const auto send = [this] { return ReadOperator(); };
  RunUntil([read = ReadOperator()] { return read->mSucceeded.has_value(); });
  OpenConnections();
  mStore.SilenceMost();
  std::shared_ptr<Read> wait = Send(send);
  CHECK_FALSE(wait->mSucceeded.has_value());
  mStore.Change();
  const Millis time = TimeToRead(wait, send);
  CHECK_TRUE(time <= kBound);
}

// Guards against an owner that asks for the list of runners on one silent
// connection after the other, and learns too late that runners leave: it
// started tasks on them.
TEST(SilentConnections, LeavingRunnersAreSeenInTime)
{
  const auto send = [this] { return ReadRunners(); };
  OpenConnections();
  mStore.SilenceMost();
  const Millis time = TimeToRead(Send(send), send);
  CHECK_TRUE(time <= kBound);
}

// Guards against reads and waits for changes that are bound as a whole: a large
// answer over a slow link never arrived. Once an answer has begun, they have to
// end after a pause of a second only, not at their time-outs (1.2 s and 1.9 s).
TEST(SilentConnections, ReadsEndWhenTheirAnswersStall)
{
  const auto send = [this] { return ReadOperator(); };
  const auto otherRead = [this] {
    bool answered = false;
    mPort.mRead("op", "", "", "", [&](const ReadOutcome&) { answered = true; });
    RunUntil([&] { return answered; });
  };
  mStore.CutNextAnswer();
  const std::shared_ptr<Read> read = Send(send);
  otherRead(); // The first half is read before this.
  mDeadlines.Expire(BootTime() + Millis(1100));
  CHECK_TRUE(read->mSucceeded.has_value());
  CHECK_FALSE(*read->mSucceeded);
  CHECK_TRUE(*Send(send)->mSucceeded);
  const std::shared_ptr<Read> wait = Send(send);
  CHECK_FALSE(wait->mSucceeded.has_value());
  mStore.CutNextAnswer();
  mStore.Change();
  otherRead();
  mDeadlines.Expire(BootTime() + Millis(1100));
  CHECK_TRUE(wait->mSucceeded.has_value());
  CHECK_FALSE(*wait->mSucceeded);
}

// Guards against a node that tells its peers that a configuration is arriving
// because of another large answer, such as the list of runners: they would wait
// for it although its own read is stuck.
TEST(SilentConnections, OnlyAnswersAboutTheOperatorsTableAreProgress)
{
  mStore.Pad(200000);
  const auto read = [&](const std::string& aTable) {
    bool answered = false;
    mPort.mRead(
      aTable, "", "", "", [&](const ReadOutcome&) { answered = true; });
    RunUntil([&] { return answered; });
  };
  read("servers");
  UNSIGNED_LONGS_EQUAL(0, mProgress);
  read("op");
  CHECK_TRUE(mProgress > 0);
}

// Guards against a read of a large configuration over a full link that is given
// up before its first byte, again and again after the same time: each try adds
// another answer to the link, and none arrives.
TEST(SilentConnections, ARepeatedReadWaitsLongerForItsFirstByte)
{
  RunUntil([read = ReadOperator()] { return read->mSucceeded.has_value(); });
  for (const int factor : { 1, 2, 4, 4 }) {
    CheckWaitExpiresAfter(factor * kWaitTimeout);
  }
  // A success ends it.
  mStore.Change();
  CHECK_TRUE(*Send([this] { return ReadOperator(); })->mSucceeded);
  mStore.Revert();
  CheckWaitExpiresAfter(kWaitTimeout);
}

// Guards against the same while an answer arrives: behind the first windows of
// 18 answers, the next one waits for more than a second.
TEST(SilentConnections, ARepeatedReadWaitsLongerForFurtherBytes)
{
  RunUntil([read = ReadOperator()] { return read->mSucceeded.has_value(); });
  mStore.Change();
  for (const int factor : { 1, 2, 4, 4 }) {
    mStore.CutNextAnswer();
    const MonotonicTime before = BootTime();
    const std::shared_ptr<Read> read = Send([this] { return ReadOperator(); });
    ReadOther(); // The first half is read before this.
    mDeadlines.Expire(before + factor * Millis(1000) - Millis(1));
    CHECK_FALSE(read->mSucceeded.has_value());
    mDeadlines.Expire(BootTime() + factor * Millis(1000));
    CHECK_TRUE(read->mSucceeded.has_value());
    CHECK_FALSE(*read->mSucceeded);
  }
}

// Guards against a repeated read that is ended because another call got no
// answer in its shorter time: on a full link both are just late.
TEST(SilentConnections, ARepeatedReadOutlivesOtherCalls)
{
  RunUntil([read = ReadOperator()] { return read->mSucceeded.has_value(); });
  CheckWaitExpiresAfter(kWaitTimeout);
  const std::shared_ptr<Read> wait = Send([this] { return ReadOperator(); });
  mStore.HoldUntil(mStore.Requests() + 10);
  std::optional<bool> other;
  mPort.mRead("cluster", "", "", "", [&](const ReadOutcome& aRead) {
    other = aRead.mResult == ReadResult::Read;
  });
  const std::size_t received = mStore.Requests();
  RunUntil([&] { return mStore.Requests() > received; });
  mDeadlines.Expire(BootTime() + Millis(1300));
  CHECK_TRUE(other && !*other);
  CHECK_FALSE(wait->mSucceeded.has_value());
}

// Guards against a longer time-out that outlasts an outage of the store: the
// answer to a call that is sent after the repeated read is due shows that the
// read was lost, since it would have arrived before.
TEST(SilentConnections, ARepeatedReadEndsWhenALaterCallIsAnswered)
{
  const auto wait = [this] {
    auto failed = std::make_shared<bool>(false);
    const std::size_t unanswered = mStore.Unanswered();
    mPort.mWaitForChanges(
      "op", 1, Millis(0), [failed](const ReadOutcome&) { *failed = true; });
    RunUntil([&] { return mStore.Unanswered() > unanswered; });
    return failed;
  };
  constexpr Millis kTimeout{ 700 }; // Without the wait for a change.
  const auto first = wait();
  mDeadlines.Expire(BootTime() + kTimeout + Millis(50));
  CHECK_TRUE(*first);
  // The later call is answered before the first time-out.
  const auto second = wait();
  RunFor(Millis(300));
  ReadOther();
  CHECK_FALSE(*second);
  mDeadlines.Expire(BootTime() + kTimeout);
  CHECK_TRUE(*second);
  // The later call is answered after it.
  const auto third = wait();
  RunFor(Millis(300));
  mDeadlines.Expire(BootTime() + kTimeout);
  CHECK_FALSE(*third);
  ReadOther();
  mDeadlines.Expire(BootTime() + Millis(50));
  CHECK_TRUE(*third);
}
